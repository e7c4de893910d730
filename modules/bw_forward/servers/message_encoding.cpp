#include "bw_forward/callers/authorization_field.h"
#include "bw_forward/servers/server_attempt.h"
#include "bw_http/messages/head_grammar.h"

#include <algorithm>
#include <charconv>

using namespace bw;

namespace {

constexpr int NoContent = 204;

void addField(std::string &Out, std::string_view Name, std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

// Fields listed in `Connection` apply to a single connection and are not
// forwarded.
bool isNamedByConnection(const std::optional<std::string> &Connection,
                         std::string_view Name) {
  if (!Connection)
    return false;
  std::string_view Rest = *Connection;
  while (!Rest.empty()) {
    const std::size_t Comma = std::min(Rest.find(','), Rest.size());
    std::string_view Option = Rest.substr(0, Comma);
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
    while (!Option.empty() && Option.front() == ' ')
      Option.remove_prefix(1);
    while (!Option.empty() && Option.back() == ' ')
      Option.remove_suffix(1);
    if (equalsIgnoringCase(Option, Name))
      return true;
  }
  return false;
}

template <typename Skip>
void addEndToEndFields(std::string &Out, const http_headers &Headers,
                       const Skip &IsSkipped) {
  const std::optional<std::string> Connection = Headers.find("Connection");
  for (const http_header &Field : Headers.fields())
    if (!isHopByHopHeader(Field.Name) && !IsSkipped(Field.Name) &&
        !isNamedByConnection(Connection, Field.Name))
      addField(Out, Field.Name, Field.Value);
}

bool hasNoBody(std::string_view Method, int Status) {
  return Method == "HEAD" || isBodilessStatus(Status);
}

std::string hexadecimal(std::size_t Number) {
  constexpr int Base = 16;
  char Digits[sizeof(Number) * 2];
  const auto End =
      std::to_chars(std::begin(Digits), std::end(Digits), Number, Base).ptr;
  return {Digits, End};
}

} // namespace

std::string bw::encodeRequest(const server_attempt &Attempt,
                              const relay_headers &Names, duration TimeLeft) {
  const caller_exchange &Exchange = *Attempt.Exchange;
  const http1_head &Head = Exchange.Head;
  std::string Out = Head.Method + " " + Head.Target + " HTTP/1.1\r\n";
  addField(Out, "Host", Head.Headers.find("Host").value_or(""));
  addEndToEndFields(Out, Head.Headers, [&](std::string_view Name) {
    return equalsIgnoringCase(Name, Names.Deadline) ||
           equalsIgnoringCase(Name, Names.ExpectedServer) ||
           (Attempt.Customer && (equalsIgnoringCase(Name, AuthorizationField) ||
                                 equalsIgnoringCase(Name, Names.Customer)));
  });
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(TimeLeft).count();
  addField(Out, Names.Deadline,
           std::to_string(std::max<std::int64_t>(Milliseconds, 1)));
  addField(Out, Names.ExpectedServer, Attempt.Server.value());
  if (Attempt.Customer && !Attempt.Customer->Name.empty())
    addField(Out, Names.Customer, Attempt.Customer->Name.value());
  const bool MayHaveBody = Head.ContentLength || Head.IsChunked;
  if (Exchange.IsStreamed && !Head.ContentLength)
    addField(Out, "Transfer-Encoding", "chunked");
  else if (Exchange.IsStreamed)
    addField(Out, "Content-Length", std::to_string(*Head.ContentLength));
  else if (MayHaveBody)
    addField(Out, "Content-Length", std::to_string(Exchange.Body.size()));
  Out += "\r\n";
  if (!Exchange.IsStreamed)
    Out += Exchange.Body;
  return Out;
}

std::string bw::encodeBodyPart(const http1_head &Head, std::string Part,
                               bool IsLast) {
  if (Head.ContentLength)
    return Part;
  std::string Out;
  if (!Part.empty())
    Out = hexadecimal(Part.size()) + "\r\n" + Part + "\r\n";
  if (IsLast)
    Out += "0\r\n\r\n";
  return Out;
}

body_framing bw::selectFraming(const caller_exchange &Exchange,
                               const http1_head &Head, bool IsComplete) {
  if (hasNoBody(Exchange.Head.Method, Head.Status))
    return body_framing::None;
  if (IsComplete || Head.ContentLength)
    return body_framing::Length;
  return Exchange.Head.IsHttp10 ? body_framing::Close : body_framing::Chunked;
}

std::string bw::encodeResponseHead(const caller_exchange &Exchange,
                                   const http1_head &Head,
                                   std::optional<std::size_t> BodySize,
                                   body_framing Framing) {
  std::string Out = "HTTP/1.1 " + std::to_string(Head.Status) + " " +
                    std::string(reasonPhrase(Head.Status)) + "\r\n";
  addEndToEndFields(Out, Head.Headers, [](std::string_view) { return false; });
  switch (Framing) {
  case body_framing::Length:
    addField(Out, "Content-Length",
             std::to_string(BodySize ? *BodySize : *Head.ContentLength));
    break;
  case body_framing::Chunked:
    addField(Out, "Transfer-Encoding", "chunked");
    break;
  case body_framing::None:
    // The length of what the same request would get otherwise. A 204 has none
    // (RFC 9110, 8.6).
    if (Head.ContentLength && Head.Status != NoContent)
      addField(Out, "Content-Length", std::to_string(*Head.ContentLength));
    break;
  case body_framing::Close:
    break;
  }
  if (Exchange.ClosesConnection)
    addField(Out, "Connection", "close");
  return Out + "\r\n";
}
