#include "bw_peer/connections/hello.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

using namespace bw;

namespace {

// A key and a host name fit; anything longer is not a hello.
constexpr std::size_t HelloLimit = 4096;
constexpr std::size_t LengthSize = 4;

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest digestOf(std::string_view Text) {
  digest Result;
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Result.data());
  return Result;
}

// Digests have one length, so neither content nor length of the key shows in
// the time that the comparison takes.
bool keysEqual(std::string_view Left, std::string_view Right) {
  const digest LeftDigest = digestOf(Left);
  const digest RightDigest = digestOf(Right);
  return CRYPTO_memcmp(LeftDigest.data(), RightDigest.data(),
                       LeftDigest.size()) == 0;
}

template <typename Message> std::string encode(const Message &Hello) {
  std::string Out;
  appendLength(Out, Hello.ByteSizeLong());
  Hello.AppendToString(&Out);
  return Out;
}

} // namespace

std::string bw::encodeHello(const wire::Hello &Hello) { return encode(Hello); }

std::string bw::encodeHello(const wire::HelloReply &Reply) {
  return encode(Reply);
}

template <typename Message>
std::optional<Message> bw::takeHello(std::string &Bytes) {
  if (Bytes.size() < LengthSize)
    return std::nullopt;
  const std::size_t Length = readLength(Bytes);
  if (Length > HelloLimit)
    throw peer_protocol_error("connection does not begin with a hello");
  if (Bytes.size() < LengthSize + Length)
    return std::nullopt;
  Message Result;
  if (!Result.ParseFromString(Bytes.substr(LengthSize, Length)))
    throw peer_protocol_error("hello that is no valid message");
  Bytes.erase(0, LengthSize + Length);
  return Result;
}

template std::optional<wire::Hello> bw::takeHello(std::string &Bytes);
template std::optional<wire::HelloReply> bw::takeHello(std::string &Bytes);

wire::HelloReply::Result bw::judgeHello(const wire::Hello &Hello,
                                        std::string_view PeerKey) {
  if (PeerKey.empty() || !keysEqual(Hello.peer_key(), PeerKey))
    return wire::HelloReply::WRONG_KEY;
  if (Hello.protocol() != PeerProtocol)
    return wire::HelloReply::WRONG_PROTOCOL;
  return wire::HelloReply::ACCEPTED;
}
