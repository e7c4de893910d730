#ifndef TESTS_SLOW_CLIENTS_CROWD_H
#define TESTS_SLOW_CLIENTS_CROWD_H

#include "bw_core/ids/units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bw::slow_clients {

/// Where callers connect.
struct caller_address {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// What each client of a crowd does.
struct crowd_options {
  std::size_t Size = 0;
  /// What each client sends.
  std::string Request;
  /// If set, gives each client a request of its own in place of `Request`.
  std::function<std::string(std::size_t Client)> RequestOf = {};
  /// The most that a client sends in a round.
  byte_count SentPerRound = mebibytes(1);
  /// The most that a client reads in a round.
  byte_count ReadPerRound;
  /// Rounds of a tenth of a second.
  int Rounds = 40;
};

/// Clients of the gateway that send, read or wait more slowly than others. A
/// client whose connection ends does not come back. They leave when destroyed.
class crowd {
public:
  /// Connects all clients. \throws harness_error
  crowd(const caller_address &Address, crowd_options Options);
  ~crowd();
  crowd(const crowd &) = delete;
  crowd &operator=(const crowd &) = delete;

  /// Plays all rounds; calls the hook after each.
  void play(const std::function<void()> &OnRound);
  /// Clients whose connection has not ended as far as they know.
  std::size_t connected() const;

private:
  struct client {
    int Descriptor = -1;
    /// Empty where all clients send the same, which may be long.
    std::string OwnRequest;
    std::size_t Sent = 0;
  };

  const std::string &requestOf(const client &Client) const;
  void sendSome(client &Client) const;
  void readSome(client &Client) const;

  crowd_options Options;
  std::vector<client> Clients;
};

/// Opens connections, sends a request on every second one, and resets them at
/// once.
void openAndReset(const caller_address &Address, std::size_t Connections,
                  const std::string &Request);

/// True if the request gets an answer with status 200 and a body of `Size`
/// bytes on a new connection.
bool isAnswered(const caller_address &Address, const std::string &Request,
                std::size_t Size);

} // namespace bw::slow_clients

#endif
