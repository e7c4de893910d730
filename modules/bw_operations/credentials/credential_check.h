#ifndef BW_OPERATIONS_CREDENTIALS_CREDENTIAL_CHECK_H
#define BW_OPERATIONS_CREDENTIALS_CREDENTIAL_CHECK_H

#include "bw_schema/bramleywinch.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bw {

/// What is stored of a credential, in the form of a declaration.
struct stored_credential {
  std::string Name;
  /// 32 hexadecimal digits.
  std::string Salt;
  /// 64 hexadecimal digits.
  std::string SecretSha256;
};

/// A new credential. Only `Stored` is kept.
struct new_credential {
  /// `<name>.<secret>`; the secret has 256 random bits. Show it once.
  std::string Bearer;
  stored_credential Stored;
};

/// Makes a credential from the system's random numbers.
new_credential makeCredential(const std::string &Name);

/// Credentials of the callers of a configuration.
std::vector<stored_credential>
callerCredentials(const schema::configuration &Configuration);

enum class credential_outcome {
  Valid,
  Missing,   ///< There is no Authorization header.
  Malformed, ///< It is not `Bearer <name>.<secret>`.
  Refused,   ///< The name is unknown or the secret is wrong.
};

struct credential_result {
  credential_outcome Outcome = credential_outcome::Refused;
  /// Only when valid.
  std::string Name;
};

/// Checks bearer credentials of callers or of operators. An unknown name costs
/// the same work as a wrong secret and gives the same result. Nothing here puts
/// a secret into a text. Not changed after construction; thread-safe.
class credential_check {
public:
  /// Entries that are not in the declared form are left out and can therefore
  /// never be used.
  explicit credential_check(const std::vector<stored_credential> &Credentials);

  /// Checks the value of an `Authorization` header.
  credential_result check(const std::optional<std::string> &Header) const;

private:
  struct digest_entry {
    std::string Salt;
    std::string Digest;
  };
  struct name_hash {
    using is_transparent = void; // NOLINT: the standard library's name.
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };

  std::unordered_map<std::string, digest_entry, name_hash, std::equal_to<>>
      Entries;
};

} // namespace bw

#endif
