#include "bw_http/client/http_client.h"

#include "bw_http/client/easy_transfer.h"
#include "bw_kernel/rings/bounded_ring.h"

#include <atomic>
#include <map>
#include <thread>

using namespace bw;

namespace {

// libcurl wants its global state set up before threads exist.
const CURLcode GlobalState = curl_global_init(CURL_GLOBAL_DEFAULT);

enum class command_kind { Send, Cancel, Resume };

struct client_command {
  command_kind Kind;
  transfer_id Id;
  std::unique_ptr<easy_transfer> Transfer;
};

} // namespace

struct http_client::implementation {
  implementation(runtime_clock &Clock, const http_client_options &Options)
      : Commands(Clock, {.Capacity = Options.CommandCapacity,
                         // A lost `resume` would leave a transfer paused.
                         .Overflow = overflow_policy::Block,
                         .OnReady = [this] { curl_multi_wakeup(Multi); }}) {
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      Options.MaxConnectionsPerHost);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, Options.MaxIdleConnections);
  }

  void run() {
    // An idle client sleeps in the poll; this bounds only how long a lost
    // wake-up could delay a command.
    constexpr int PollMilliseconds = 60'000;
    while (!Stopping) {
      takeCommands();
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      reportDone();
      curl_multi_poll(Multi, nullptr, 0, PollMilliseconds, nullptr);
    }
    while (!Open.empty())
      end(Open.begin()->first, transfer_status::Cancelled);
  }

  void takeCommands() {
    while (auto Command = Commands.tryPop()) {
      switch (Command->Kind) {
      case command_kind::Send: {
        CURL *Handle = Command->Transfer->handle();
        Open.emplace(Command->Id, std::move(Command->Transfer));
        ByHandle.emplace(Handle, Command->Id);
        curl_multi_add_handle(Multi, Handle);
        break;
      }
      case command_kind::Cancel:
        end(Command->Id, transfer_status::Cancelled);
        break;
      case command_kind::Resume:
        if (const auto Found = Open.find(Command->Id); Found != Open.end())
          curl_easy_pause(Found->second->handle(), CURLPAUSE_CONT);
        break;
      }
    }
  }

  void reportDone() {
    int Left = 0;
    while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const auto Known = ByHandle.find(Message->easy_handle);
      if (Known == ByHandle.end())
        continue;
      const transfer_id Id = Known->second;
      const transfer_result Result = Open.at(Id)->result(Message->data.result);
      finish(Id, Result);
    }
  }

  void end(transfer_id Id, transfer_status Status) {
    const auto Found = Open.find(Id);
    if (Found == Open.end())
      return;
    transfer_result Result = Found->second->result(CURLE_ABORTED_BY_CALLBACK);
    Result.Status = Status;
    finish(Id, Result);
  }

  void finish(transfer_id Id, const transfer_result &Result) {
    auto Node = Open.extract(Id);
    const std::unique_ptr<easy_transfer> Transfer = std::move(Node.mapped());
    ByHandle.erase(Transfer->handle());
    curl_multi_remove_handle(Multi, Transfer->handle());
    Transfer->request().OnDone(Result);
  }

  ~implementation() { curl_multi_cleanup(Multi); }

  CURLM *Multi = curl_multi_init();
  bounded_ring<client_command> Commands;
  std::map<transfer_id, std::unique_ptr<easy_transfer>> Open;
  std::map<CURL *, transfer_id> ByHandle;
  std::atomic<std::uint64_t> LastId = 0;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

http_client::http_client(runtime_clock &Clock, http_client_options Options)
    : Implementation(std::make_unique<implementation>(Clock, Options)) {}

http_client::~http_client() { stop(); }

void http_client::start() {
  Implementation->Thread = std::thread([this] { Implementation->run(); });
}

void http_client::stop() {
  if (!Implementation->Thread.joinable())
    return;
  Implementation->Stopping = true;
  curl_multi_wakeup(Implementation->Multi);
  Implementation->Thread.join();
}

transfer_id http_client::send(client_request Request) {
  const transfer_id Id(++Implementation->LastId);
  const bool Taken = Implementation->Commands.push(
      {command_kind::Send, Id,
       std::make_unique<easy_transfer>(std::move(Request))});
  return Taken ? Id : transfer_id();
}

void http_client::cancel(transfer_id Id) {
  Implementation->Commands.push({command_kind::Cancel, Id, nullptr});
}

void http_client::resume(transfer_id Id) {
  Implementation->Commands.push({command_kind::Resume, Id, nullptr});
}
