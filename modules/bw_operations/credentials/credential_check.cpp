#include "bw_operations/credentials/credential_check.h"

#include "bw_schema/hash/sha256.h"
#include "bw_schema/validation/names.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <new>

using namespace bw;

namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 32;
constexpr std::size_t SaltDigits = 2 * SaltBytes;
constexpr std::size_t DigestDigits = 64;

// Longer headers are refused before any work is done on them.
constexpr std::size_t MaxHeaderLength = 512;

std::string randomHex(std::size_t Bytes) {
  std::string Result(Bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Result.data()),
                 static_cast<int>(Bytes)) != 1)
    throw std::bad_alloc();
  return toHex(Result);
}

int digitValue(char Digit) {
  return Digit <= '9' ? Digit - '0' : Digit - 'a' + 10;
}

std::string fromHex(std::string_view Digits) {
  std::string Result;
  for (std::size_t Index = 0; Index + 1 < Digits.size(); Index += 2)
    Result += static_cast<char>(digitValue(Digits[Index]) * 16 +
                                digitValue(Digits[Index + 1]));
  return Result;
}

bool hasBearerScheme(std::string_view Header) {
  constexpr std::string_view Scheme = "bearer ";
  if (Header.size() < Scheme.size())
    return false;
  for (std::size_t Index = 0; Index < Scheme.size(); ++Index)
    if ((Header[Index] | 0x20) != Scheme[Index])
      return false;
  return true;
}

struct bearer_parts {
  std::string_view Name;
  std::string_view Secret;
};

std::optional<bearer_parts> splitBearer(std::string_view Header) {
  if (Header.size() > MaxHeaderLength || !hasBearerScheme(Header))
    return std::nullopt;
  const std::string_view Token = Header.substr(Header.find(' ') + 1);
  const std::size_t Dot = Token.find('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const bearer_parts Parts{.Name = Token.substr(0, Dot),
                           .Secret = Token.substr(Dot + 1)};
  if (!isCallerName(Parts.Name) || !isHex(Parts.Secret, 2 * SecretBytes))
    return std::nullopt;
  return Parts;
}

} // namespace

new_credential bw::makeCredential(const std::string &Name) {
  const std::string Salt = randomHex(SaltBytes);
  const std::string Secret = randomHex(SecretBytes);
  return {.Bearer = Name + "." + Secret,
          .Stored = {.Name = Name,
                     .Salt = Salt,
                     .SecretSha256 = sha256Hex(fromHex(Salt) + Secret)}};
}

std::vector<stored_credential>
bw::callerCredentials(const schema::configuration &Configuration) {
  std::vector<stored_credential> Result;
  Result.reserve(Configuration.callers_size());
  for (const schema::caller &Caller : Configuration.callers())
    Result.push_back({.Name = Caller.name(),
                      .Salt = Caller.salt(),
                      .SecretSha256 = Caller.secret_sha256()});
  return Result;
}

credential_check::credential_check(
    const std::vector<stored_credential> &Credentials) {
  Entries.reserve(Credentials.size());
  for (const stored_credential &Each : Credentials)
    if (isCallerName(Each.Name) && isHex(Each.Salt, SaltDigits) &&
        isHex(Each.SecretSha256, DigestDigits))
      Entries.emplace(Each.Name,
                      digest_entry{.Salt = fromHex(Each.Salt),
                                   .Digest = fromHex(Each.SecretSha256)});
}

credential_result
credential_check::check(const std::optional<std::string> &Header) const {
  if (!Header)
    return {.Outcome = credential_outcome::Missing, .Name = {}};
  const auto Parts = splitBearer(*Header);
  if (!Parts)
    return {.Outcome = credential_outcome::Malformed, .Name = {}};
  // Stands in for an unknown name, so that the answer takes as long.
  static const digest_entry NoEntry{.Salt = std::string(SaltBytes, '\0'),
                                    .Digest =
                                        std::string(DigestDigits / 2, '\0')};
  const auto Found = Entries.find(Parts->Name);
  const bool IsKnown = Found != Entries.end();
  const digest_entry &Entry = IsKnown ? Found->second : NoEntry;
  const std::string Digest = sha256(Entry.Salt + std::string(Parts->Secret));
  const bool IsEqual =
      CRYPTO_memcmp(Digest.data(), Entry.Digest.data(), Digest.size()) == 0;
  if (!IsKnown || !IsEqual)
    return {.Outcome = credential_outcome::Refused, .Name = {}};
  return {.Outcome = credential_outcome::Valid,
          .Name = std::string(Parts->Name)};
}
