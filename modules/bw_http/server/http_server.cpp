#include "bw_http/server/http_server.h"

#include "bw_http/server/closed_callers.h"
#include "bw_http/server/limited_socket.h"
#include "bw_kernel/clock/runtime_clock.h"

#include <restinio/all.hpp>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>

using namespace bw;

namespace {

using connection_id = restinio::connection_id_t;
class restinio_exchange;

// Requests in progress by their connection, so that a closed connection ends
// the request's work. Shared between the server and its exchanges.
struct open_exchanges {
  explicit open_exchanges(process_budget_options Budget)
      : Context({.Budget = Budget,
                 .Now = [this] { return Clock.now(); },
                 .Post =
                     [this](std::function<void()> Hook) {
                       restinio::asio_ns::post(Context, std::move(Hook));
                     },
                 .OnLimit =
                     [this](close_reason Reason) {
                       Closed.closed(Reason, Clock.now());
                     }}) {}

  runtime_clock Clock;
  closed_callers Closed;
  // Kept as long as any exchange: its socket must not outlive it.
  server_context Context;
  std::mutex Mutex;
  std::multimap<connection_id, std::weak_ptr<restinio_exchange>> ByConnection;
  std::atomic<std::size_t> Count = 0;
  std::atomic<bool> Draining = false;
};

using chunked_builder =
    restinio::response_builder_t<restinio::chunked_output_t>;

class connection_listener {
public:
  explicit connection_listener(std::shared_ptr<open_exchanges> Open)
      : Open(std::move(Open)) {}
  // The library calls this member by name.
  void state_changed( // NOLINT(readability-identifier-naming)
      const restinio::connection_state::notice_t &Notice) noexcept;

private:
  std::shared_ptr<open_exchanges> Open;
};

struct server_traits : public restinio::default_single_thread_traits_t {
  using stream_socket_t = limited_socket;                  // NOLINT
  using connection_state_listener_t = connection_listener; // NOLINT
};

class restinio_exchange
    : public http_exchange,
      public std::enable_shared_from_this<restinio_exchange> {
public:
  restinio_exchange(restinio::request_handle_t Handle,
                    std::shared_ptr<open_exchanges> Open)
      : Open(std::move(Open)), Handle(std::move(Handle)),
        Id(this->Handle->connection_id()),
        HeldByRequest(limiter().requestBegan(Id)) {
    readRequest();
  }
  ~restinio_exchange() override {
    endResponse();
    limiter().requestEnded(Id, HeldByRequest);
  }

  const http_request &request() const override { return Request; }
  std::string remoteAddress() const override {
    return Handle->remote_endpoint().address().to_string();
  }

  void enroll() {
    ++Open->Count;
    Counted = true;
    const std::lock_guard Guard(Open->Mutex);
    Open->ByConnection.emplace(Handle->connection_id(), weak_from_this());
  }

  void respond(http_response Response) override {
    const std::lock_guard Guard(Mutex);
    if (Ended)
      return;
    auto Builder = Handle->create_response(statusLine(Response.Status));
    copyHeaders(Response.Headers, Builder);
    if (Open->Draining)
      Builder.connection_close();
    const std::size_t Size = Response.Body.size();
    limiter().responseQueued(Id, Size);
    Builder.set_body(std::move(Response.Body));
    Builder.done([Open = std::weak_ptr(Open), Id = Id, Size](const auto &) {
      releaseResponse(Open, Id, Size);
    });
    endLocked();
  }

  void begin(int Status, http_headers Headers,
             std::optional<byte_count> Length) override {
    const std::lock_guard Guard(Mutex);
    if (Ended)
      return;
    // Only a connection that closes lets the client see a response that was
    // broken off.
    if (Length) {
      Stream.emplace(
          Handle->create_response<restinio::user_controlled_output_t>(
              statusLine(Status)));
      copyHeaders(Headers, *Stream);
      Stream->connection_close().set_content_length(Length->value()).flush();
    } else {
      // The other form of output always has a length.
      Chunks.emplace(Handle->create_response<restinio::chunked_output_t>(
          statusLine(Status)));
      copyHeaders(Headers, *Chunks);
      Chunks->connection_close().flush();
    }
  }

  byte_count write(std::string Part) override {
    const std::lock_guard Guard(Mutex);
    if (Ended || !isStreamed() || Part.empty())
      return byte_count(Unwritten);
    const std::size_t Size = Part.size();
    Unwritten += Size;
    limiter().responseQueued(Id, Size);
    const auto OnFlushed = [Self = weak_from_this(), Open = std::weak_ptr(Open),
                            Id = Id, Size](const auto &Error) {
      releaseResponse(Open, Id, Size);
      if (const auto Exchange = Self.lock())
        Exchange->written(Size, !Error);
    };
    if (Stream)
      Stream->append_body(std::move(Part)).flush(OnFlushed);
    else
      Chunks->append_chunk(std::move(Part)).flush(OnFlushed);
    return byte_count(Unwritten);
  }

  void finish() override {
    const std::lock_guard Guard(Mutex);
    if (Ended || !isStreamed())
      return;
    if (Stream)
      Stream->done();
    else
      Chunks->done();
    endLocked();
  }

  void abort() override {
    const std::lock_guard Guard(Mutex);
    if (Ended || !isStreamed())
      return;
    breakOff();
    endLocked();
  }

  void setOnWritten(std::function<void(byte_count)> Hook) override {
    const std::lock_guard Guard(Mutex);
    OnWritten = std::move(Hook);
  }

  void setOnClosed(std::function<void()> Hook) override {
    const std::lock_guard Guard(Mutex);
    OnClosed = std::move(Hook);
  }

  void connectionClosed() {
    std::function<void()> Hook;
    {
      const std::lock_guard Guard(Mutex);
      if (Ended)
        return;
      Hook = std::move(OnClosed);
      endLocked();
    }
    if (Hook)
      Hook();
  }

private:
  connection_limiter &limiter() const { return Open->Context.Limiter; }

  // The event loop keeps hooks of writes that never end, and must not be kept
  // by them.
  static void releaseResponse(const std::weak_ptr<open_exchanges> &Open,
                              http_connection_id Id, std::size_t Size) {
    if (const auto Own = Open.lock())
      Own->Context.Limiter.responseWritten(Id, Size);
  }

  void readRequest() {
    const auto &Header = Handle->header();
    Request.Method = std::string(Header.method().c_str());
    Request.Path = std::string(Header.path());
    Request.Query = std::string(Header.query());
    Header.for_each_field([&](const restinio::http_header_field_t &Field) {
      Request.Headers.add(Field.name(), Field.value());
    });
    Request.Body = Handle->body();
  }

  static restinio::http_status_line_t statusLine(int Status) {
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
            "Status"};
  }

  template <typename Builder>
  static void copyHeaders(const http_headers &Headers, Builder &Target) {
    for (const http_header &Field : Headers.fields())
      if (!isHopByHopHeader(Field.Name))
        Target.append_header(Field.Name, Field.Value);
  }

  void written(std::size_t Size, bool Succeeded) {
    if (!Succeeded) {
      connectionClosed();
      return;
    }
    std::function<void(byte_count)> Hook;
    byte_count Left;
    {
      const std::lock_guard Guard(Mutex);
      Unwritten -= Size;
      Left = byte_count(Unwritten);
      Hook = OnWritten;
    }
    if (Hook)
      Hook(Left);
  }

  void endResponse() {
    const std::lock_guard Guard(Mutex);
    // A stream that nobody finished is broken off.
    if (!Ended)
      breakOff();
    endLocked();
  }

  bool isStreamed() const { return Stream || Chunks; }

  // The library ends chunked output with the last chunk, which the client must
  // not get, so the socket is closed first.
  void breakOff() {
    if (Stream)
      Stream->done();
    if (!Chunks)
      return;
    auto Unfinished = std::make_shared<chunked_builder>(std::move(*Chunks));
    restinio::asio_ns::post(Open->Context,
                            [Open = std::weak_ptr(Open), Id = Id, Unfinished] {
                              if (const auto Own = Open.lock())
                                Own->Context.Limiter.disconnect(Id);
                              Unfinished->done();
                            });
  }

  void endLocked() {
    Ended = true;
    if (!Counted)
      return;
    Counted = false;
    --Open->Count;
  }

  std::shared_ptr<open_exchanges> Open;
  restinio::request_handle_t Handle;
  http_connection_id Id;
  byte_count HeldByRequest;
  http_request Request;
  // Recursive: a write to a connection that the client has closed ends it at
  // once, on the same thread, and reports that back here.
  mutable std::recursive_mutex Mutex;
  /// A streamed response, with a length or in chunks.
  std::optional<
      restinio::response_builder_t<restinio::user_controlled_output_t>>
      Stream;
  std::optional<chunked_builder> Chunks;
  bool Ended = false;
  bool Counted = false;
  std::uint64_t Unwritten = 0;
  std::function<void(byte_count)> OnWritten;
  std::function<void()> OnClosed;
};

void connection_listener::state_changed(
    const restinio::connection_state::notice_t &Notice) noexcept {
  const http_connection_id Id(Notice.connection_id());
  if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
          Notice.cause()))
    Open->Context.Limiter.accepted(Id);
  if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
          Notice.cause()))
    return;
  Open->Context.Limiter.closed(Id);
  std::vector<std::shared_ptr<restinio_exchange>> Closed;
  {
    const std::lock_guard Guard(Open->Mutex);
    const auto [First, Last] =
        Open->ByConnection.equal_range(Notice.connection_id());
    for (auto Entry = First; Entry != Last; ++Entry)
      if (auto Exchange = Entry->second.lock())
        Closed.push_back(std::move(Exchange));
    Open->ByConnection.erase(First, Last);
  }
  for (const auto &Exchange : Closed)
    Exchange->connectionClosed();
}

} // namespace

struct http_server::implementation {
  using server = restinio::http_server_t<server_traits>;

  explicit implementation(http_server_options GivenOptions)
      : Options(std::move(GivenOptions)),
        Open(std::make_shared<open_exchanges>(Options.Budget)) {}

  void handle(const restinio::request_handle_t &Handle) {
    removeEnded(Handle->connection_id());
    const bool HasRoom = Open->Context.Limiter.makeRoomForRequest();
    auto Exchange = std::make_shared<restinio_exchange>(Handle, Open);
    Exchange->enroll();
    if (!HasRoom)
      return Exchange->respond(Options.Refusal);
    Options.OnRequest(Exchange);
  }

  // A long-lived connection would otherwise collect an entry a request.
  void removeEnded(connection_id Connection) {
    const std::lock_guard Guard(Open->Mutex);
    auto [Entry, Last] = Open->ByConnection.equal_range(Connection);
    while (Entry != Last)
      Entry = Entry->second.expired() ? Open->ByConnection.erase(Entry)
                                      : std::next(Entry);
  }

  http_server_options Options;
  std::shared_ptr<open_exchanges> Open;
  std::unique_ptr<server> Server;
  std::atomic<std::uint16_t> Port = 0;
  std::thread Thread;
};

listen_error::listen_error(const std::string &Address, std::uint16_t Port,
                           const std::string &Reason)
    : error("cannot listen on " + Address + ":" + std::to_string(Port) + ": " +
            Reason) {}

http_server::http_server(http_server_options Options)
    : Implementation(std::make_unique<implementation>(std::move(Options))) {}

http_server::~http_server() { stop(); }

void http_server::start() {
  implementation &Self = *Implementation;
  const http_server_options &Options = Self.Options;
  restinio::server_settings_t<server_traits> Settings;
  Settings.address(Options.Address)
      .port(Options.Port)
      // The library reads ahead by this count, which is also how it notices a
      // client that closes while its request runs.
      .max_pipelined_requests(2)
      .buffer_size(kibibytes(16).value())
      .read_next_http_message_timelimit(Options.ReadTimeout)
      .write_http_response_timelimit(Options.ResponseTimeout)
      .handle_request_timeout(Options.ResponseTimeout)
      .concurrent_accepts_count(1)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}
              .max_url_size(Options.MaxTarget.value())
              .max_field_name_size(Options.MaxHeaderName.value())
              .max_field_value_size(Options.MaxHeaderValue.value())
              .max_field_count(Options.MaxHeaderCount)
              .max_body_size(Options.MaxBody.value()))
      .connection_state_listener(
          std::make_shared<connection_listener>(Self.Open))
      .request_handler([&Self](const restinio::request_handle_t &Handle) {
        Self.handle(Handle);
        return restinio::request_accepted();
      })
      .acceptor_post_bind_hook(
          [&Self](restinio::asio_ns::ip::tcp::acceptor &Acceptor) {
            Self.Port = Acceptor.local_endpoint().port();
          })
      .socket_options_setter([](auto &SocketOptions) {
        SocketOptions.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
      });
  Self.Server = std::make_unique<implementation::server>(
      restinio::external_io_context(Self.Open->Context), std::move(Settings));
  // Shared: the waiting thread may go on before `set_value` has returned.
  const auto Opened = std::make_shared<std::promise<void>>();
  Self.Server->open_async([Opened] { Opened->set_value(); },
                          [Opened](std::exception_ptr Failure) {
                            Opened->set_exception(std::move(Failure));
                          });
  Self.Thread = std::thread([&Self] {
    const auto Work = restinio::asio_ns::make_work_guard(Self.Open->Context);
    Self.Open->Context.run();
  });
  try {
    Opened->get_future().get();
  } catch (const std::exception &Failure) {
    stop();
    throw listen_error(Options.Address, Options.Port, Failure.what());
  }
}

std::uint16_t http_server::port() const { return Implementation->Port; }

void http_server::post(std::function<void()> Hook) {
  restinio::asio_ns::post(Implementation->Open->Context, std::move(Hook));
}

void http_server::stopAccepting() {
  implementation &Self = *Implementation;
  if (Self.Open->Draining.exchange(true) || !Self.Thread.joinable())
    return;
  const auto Closed = std::make_shared<std::promise<void>>();
  Self.Server->close_async(
      [Closed] { Closed->set_value(); },
      [Closed](const std::exception_ptr &) { Closed->set_value(); });
  Closed->get_future().wait();
}

std::size_t http_server::openExchanges() const {
  return Implementation->Open->Count;
}

void http_server::stop() {
  implementation &Self = *Implementation;
  if (!Self.Thread.joinable())
    return;
  Self.Open->Context.stop();
  Self.Thread.join();
}
