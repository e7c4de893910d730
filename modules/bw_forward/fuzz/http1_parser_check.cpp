#include "bw_forward/fuzz/http1_parser_check.h"

#include "bw_forward/parser/http1_parser.h"
#include "bw_http/messages/head_grammar.h"

#include <cstdlib>
#include <vector>

using namespace bw;

namespace {

struct parsed_messages {
  std::vector<http_headers> Heads;
  std::string Bodies;
  std::size_t Completed = 0;
  bool IsFailed = false;
};

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

// What a recipient may pass on: no name or value that the next one could read
// as another field, or as the end of the head.
void checkHead(http1_side Side, const http1_head &Head) {
  for (const http_header &Field : Head.Headers.fields()) {
    head_grammar Grammar(head_start::Fields);
    Grammar.feed(Field.Name + ": " + Field.Value + "\r\n\r\n");
    require(Grammar.state() == head_state::Complete);
    require(isFieldValue(Field.Value));
  }
  if (Side == http1_side::Response)
    require(Head.Status >= 100 && Head.Status < 600 && Head.Status != 101);
  require(!Head.IsChunked || (!Head.ContentLength && !Head.IsHttp10));
}

void feed(http1_parser &Parser, parsed_messages &Result, std::string_view Bytes,
          std::size_t BlockSize) {
  while (!Bytes.empty() && !Result.IsFailed) {
    std::string_view Block = Bytes.substr(0, BlockSize);
    Bytes.remove_prefix(Block.size());
    while (!Block.empty() && !Result.IsFailed) {
      const parse_result Parsed = Parser.feed(Block);
      Block.remove_prefix(Parsed.Taken);
      Result.IsFailed = Parsed.Status == parse_status::Malformed ||
                        Parsed.Status == parse_status::HeadTooBig;
      Result.Completed += Parsed.Status == parse_status::Complete ? 1 : 0;
    }
  }
}

parsed_messages parse(http1_side Side, std::string_view Bytes,
                      std::size_t BlockSize) {
  parsed_messages Result;
  http1_parser Parser(
      Side, {.OnHead =
                 [&](const http1_head &Head) {
                   checkHead(Side, Head);
                   Result.Heads.push_back(Head.Headers);
                   return true;
                 },
             .OnBody = [&](std::string_view Part) { Result.Bodies += Part; }});
  feed(Parser, Result, Bytes, BlockSize);
  if (Result.IsFailed || Parser.isInMessage())
    return Result;
  const std::size_t Before = Result.Heads.size();
  feed(Parser, Result,
       Side == http1_side::Request
           ? "GET / HTTP/1.1\r\nX-Own: 1\r\n\r\n"
           : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       BlockSize);
  // The bytes may end in the middle of a start line.
  if (!Result.IsFailed && Result.Heads.size() == Before + 1)
    require(Result.Heads.back().fields().size() == 1);
  return Result;
}

} // namespace

void bw::checkHttp1Parser(std::string_view Bytes) {
  for (const http1_side Side : {http1_side::Request, http1_side::Response}) {
    const parsed_messages Whole = parse(Side, Bytes, Bytes.size() + 1);
    const parsed_messages Single = parse(Side, Bytes, 1);
    require(Whole.IsFailed == Single.IsFailed);
    require(Whole.Completed == Single.Completed);
    require(Whole.IsFailed || Whole.Bodies == Single.Bodies);
    require(Whole.Heads.size() == Single.Heads.size());
    for (std::size_t Index = 0; Index < Whole.Heads.size(); ++Index)
      require(Whole.Heads[Index].fields().size() ==
              Single.Heads[Index].fields().size());
  }
}
