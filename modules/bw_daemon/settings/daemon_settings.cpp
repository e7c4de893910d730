#include "bw_daemon/settings/daemon_settings.h"

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t HighestPort = 65'535;
constexpr std::int64_t LeastBody = 1'024;
constexpr std::int64_t MostBody = 64LL * 1024 * 1024;
constexpr std::int64_t DefaultBody = 8LL * 1024 * 1024;
constexpr std::int64_t LeastMegabytes = 32;
constexpr std::int64_t MostMegabytes = 1LL << 20;
constexpr std::int64_t LeastDescriptors = 300;
constexpr std::int64_t MostDescriptors = 1LL << 20;
constexpr std::size_t ShortestPeerKey = 16;

listen_settings readListen(settings_reader Reader) {
  listen_settings Result;
  Result.Address = Reader.text("address");
  Result.Port =
      static_cast<std::uint16_t>(Reader.integer("port", {0, HighestPort}));
  Reader.finish();
  return Result;
}

seed_settings readSeed(settings_reader &Reader) {
  seed_settings Result;
  Result.Host = host_id(Reader.text("host"));
  Result.DataCentre = data_centre_id(Reader.text("data_centre"));
  Result.Peer.Address = Reader.text("address");
  Result.Peer.Port =
      static_cast<std::uint16_t>(Reader.integer("port", {1, HighestPort}));
  Reader.finish();
  return Result;
}

process_limits readLimits(settings_reader &Reader) {
  constexpr std::int64_t NoLimit = 0;
  process_limits Result;
  const std::int64_t Memory =
      Reader.integer("memory_mb", {LeastMegabytes, MostMegabytes}, NoLimit);
  if (Memory != NoLimit)
    Result.Memory = mebibytes(static_cast<std::uint64_t>(Memory));
  const std::int64_t Descriptors = Reader.integer(
      "file_descriptors", {LeastDescriptors, MostDescriptors}, NoLimit);
  if (Descriptors != NoLimit)
    Result.Descriptors = static_cast<std::uint64_t>(Descriptors);
  return Result;
}

stored_credential readOperator(settings_reader &Reader) {
  constexpr std::size_t SaltDigits = 32;
  constexpr std::size_t HashDigits = 64;
  stored_credential Result;
  Result.Name = Reader.text("name");
  Result.Salt = Reader.text("salt");
  Result.SecretSha256 = Reader.text("secret_sha256");
  if (Result.Salt.size() != SaltDigits)
    Reader.fail("salt", "must have 32 hexadecimal digits");
  if (Result.SecretSha256.size() != HashDigits)
    Reader.fail("secret_sha256", "must have 64 hexadecimal digits");
  Reader.finish();
  return Result;
}

} // namespace

daemon_settings bw::readDaemonSettings(settings_reader Reader) {
  daemon_settings Result;
  Result.Host = host_id(Reader.text("host"));
  Result.DataCentre = data_centre_id(Reader.text("data_centre"));
  Result.Region = region_id(Reader.text("region", ""));
  if (Result.Host.empty() || Result.DataCentre.empty())
    Reader.fail("host", "host and data_centre must not be empty");
  Result.Listen = readListen(Reader.section("listen"));
  Result.Peer = readListen(Reader.section("peer"));
  Result.PeerKey = Reader.text("peer_key");
  if (Result.PeerKey.size() < ShortestPeerKey)
    Reader.fail("peer_key", "must have at least 16 characters");
  Result.PlatformUrl = Reader.text("platform_url");
  if (!Result.PlatformUrl.starts_with("http://") &&
      !Result.PlatformUrl.starts_with("https://"))
    Reader.fail("platform_url", "must start with http:// or https://");
  Result.PlatformTimeout =
      Reader.milliseconds("platform_timeout_ms", {50ms, 60s}, 2s);
  Result.HostListInterval =
      Reader.milliseconds("host_list_interval_ms", {100ms, 60s}, 1s);
  Result.MaxBody = byte_count(static_cast<std::uint64_t>(
      Reader.integer("max_body_bytes", {LeastBody, MostBody}, DefaultBody)));
  Result.Limits = readLimits(Reader);
  for (settings_reader &Seed : Reader.sections("hosts"))
    Result.Seeds.push_back(readSeed(Seed));
  for (settings_reader &Operator : Reader.sections("operators"))
    Result.Operators.push_back(readOperator(Operator));
  Reader.finish();
  return Result;
}
