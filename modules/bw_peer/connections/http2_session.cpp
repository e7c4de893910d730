#include "bw_peer/connections/http2_session.h"

#include "bw_peer/frames/peer_frame.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <exception>

using namespace bw;

namespace {

struct session_deleter {
  void operator()(nghttp2_session *Session) const {
    nghttp2_session_del(Session);
  }
};
struct callbacks_deleter {
  void operator()(nghttp2_session_callbacks *Callbacks) const {
    nghttp2_session_callbacks_del(Callbacks);
  }
};
struct option_deleter {
  void operator()(nghttp2_option *Option) const { nghttp2_option_del(Option); }
};

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  // nghttp2 takes pointers to mutable bytes and copies them.
  auto *Names =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data()));
  auto *Values =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data()));
  return {Names, Values, Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

void check(int Result, const char *Action) {
  if (Result < 0)
    throw peer_protocol_error(std::string(Action) + ": " +
                              nghttp2_strerror(Result));
}

http2_close closeReason(std::uint32_t Code) {
  switch (Code) {
  case NGHTTP2_NO_ERROR:
    return http2_close::Clean;
  case NGHTTP2_REFUSED_STREAM:
    return http2_close::Refused;
  case NGHTTP2_CANCEL:
    return http2_close::Cancelled;
  default:
    return http2_close::Faulty;
  }
}

std::uint32_t errorCode(http2_close Reason) {
  switch (Reason) {
  case http2_close::Clean:
    return NGHTTP2_NO_ERROR;
  case http2_close::Cancelled:
    return NGHTTP2_CANCEL;
  case http2_close::Refused:
    return NGHTTP2_REFUSED_STREAM;
  case http2_close::Faulty:
    return NGHTTP2_INTERNAL_ERROR;
  }
  return NGHTTP2_INTERNAL_ERROR;
}

// The connection's window is wide, since the windows of the streams bound the
// memory.
constexpr std::int32_t ConnectionWindow = 64 * 1024 * 1024;
constexpr std::uint32_t HeaderListLimit = 16 * 1024;

} // namespace

class http2_session::implementation {
public:
  implementation(http2_role Role, const peer_limits &Limits, http2_hooks Hooks)
      : Role(Role), Hooks(std::move(Hooks)) {
    createSession(makeCallbacks().get(), makeOption(Limits).get());
    submitSettings(Limits);
  }

  nghttp2_session *session() const { return Session.get(); }
  http2_role role() const { return Role; }

  void receive(std::string_view Bytes) {
    const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
    const ssize_t Result =
        nghttp2_session_mem_recv(Session.get(), Data, Bytes.size());
    if (Failure)
      std::rethrow_exception(std::exchange(Failure, nullptr));
    check(static_cast<int>(std::min<ssize_t>(Result, 0)), "malformed HTTP/2");
  }

  std::string takeOutput(std::size_t Target) {
    std::string Out;
    while (Out.size() < Target) {
      const std::uint8_t *Data = nullptr;
      const ssize_t Size = nghttp2_session_mem_send(Session.get(), &Data);
      if (Failure)
        std::rethrow_exception(std::exchange(Failure, nullptr));
      check(static_cast<int>(std::min<ssize_t>(Size, 0)), "HTTP/2 output");
      if (Size == 0)
        break;
      Out.append(reinterpret_cast<const char *>(Data), std::size_t(Size));
    }
    return Out;
  }

  nghttp2_data_provider bodyProvider() {
    return {.source = {.ptr = nullptr}, .read_callback = onRead};
  }

private:
  static implementation &self(void *User) {
    return *static_cast<implementation *>(User);
  }

  // Exceptions must not pass through the C library: they are kept and thrown
  // again when it has returned.
  template <typename Action> int guarded(Action Run) {
    try {
      Run();
      return 0;
    } catch (...) {
      Failure = std::current_exception();
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
  }

  std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>
  makeCallbacks() {
    nghttp2_session_callbacks *Raw = nullptr;
    check(nghttp2_session_callbacks_new(&Raw), "HTTP/2 set-up");
    nghttp2_session_callbacks_set_on_frame_recv_callback(Raw, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Raw, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(Raw, onClose);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(Raw,
                                                                 onInvalid);
    nghttp2_session_callbacks_set_before_frame_send_callback(Raw, onSend);
    return std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>(Raw);
  }

  static std::unique_ptr<nghttp2_option, option_deleter>
  makeOption(const peer_limits &Limits) {
    nghttp2_option *Raw = nullptr;
    check(nghttp2_option_new(&Raw), "HTTP/2 set-up");
    nghttp2_option_set_no_auto_window_update(Raw, 1);
    nghttp2_option_set_no_closed_streams(Raw, 1);
    nghttp2_option_set_peer_max_concurrent_streams(
        Raw, static_cast<std::uint32_t>(Limits.StreamsPerConnection));
    return std::unique_ptr<nghttp2_option, option_deleter>(Raw);
  }

  void createSession(nghttp2_session_callbacks *Callbacks,
                     nghttp2_option *Option) {
    nghttp2_session *Raw = nullptr;
    const auto Create = Role == http2_role::Client
                            ? nghttp2_session_client_new2
                            : nghttp2_session_server_new2;
    check(Create(&Raw, Callbacks, this, Option), "HTTP/2 set-up");
    Session.reset(Raw);
  }

  void submitSettings(const peer_limits &Limits) {
    const std::array<nghttp2_settings_entry, 4> Entries{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
         static_cast<std::uint32_t>(Limits.StreamsPerConnection)},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         static_cast<std::uint32_t>(Limits.StreamWindow.value())},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, HeaderListLimit},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    check(nghttp2_submit_settings(Session.get(), NGHTTP2_FLAG_NONE,
                                  Entries.data(), Entries.size()),
          "HTTP/2 set-up");
    check(nghttp2_session_set_local_window_size(
              Session.get(), NGHTTP2_FLAG_NONE, 0, ConnectionWindow),
          "HTTP/2 set-up");
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                     void *User) {
    implementation &Self = self(User);
    const http2_stream_id Id = Frame->hd.stream_id;
    const bool IsRequest = Frame->hd.type == NGHTTP2_HEADERS &&
                           Frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    const bool HasBody =
        Frame->hd.type == NGHTTP2_HEADERS || Frame->hd.type == NGHTTP2_DATA;
    const bool Ends =
        HasBody && (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    return Self.guarded([&] {
      if (IsRequest)
        Self.Hooks.OnStream(Id);
      if (Ends)
        Self.Hooks.OnBodyEnd(Id);
    });
  }

  static int onData(nghttp2_session *Session, std::uint8_t, std::int32_t Id,
                    const std::uint8_t *Data, std::size_t Size, void *User) {
    implementation &Self = self(User);
    return Self.guarded([&] {
      check(nghttp2_session_consume_connection(Session, Size),
            "HTTP/2 connection window");
      Self.Hooks.OnBody(Id, {reinterpret_cast<const char *>(Data), Size});
    });
  }

  static int onClose(nghttp2_session *, std::int32_t Id, std::uint32_t Code,
                     void *User) {
    implementation &Self = self(User);
    return Self.guarded(
        [&] { Self.Hooks.OnStreamClosed(Id, closeReason(Code)); });
  }

  static int onInvalid(nghttp2_session *, const nghttp2_frame *, int Code,
                       void *User) {
    return self(User).guarded([&] { check(Code, "invalid HTTP/2 frame"); });
  }

  // The library answers some malformed input by a GOAWAY of its own and tells
  // nothing else about it.
  static int onSend(nghttp2_session *, const nghttp2_frame *Frame, void *User) {
    return self(User).guarded([&] {
      if (Frame->hd.type == NGHTTP2_GOAWAY &&
          Frame->goaway.error_code != NGHTTP2_NO_ERROR)
        throw peer_protocol_error(
            std::string("malformed HTTP/2: ") +
            nghttp2_http2_strerror(Frame->goaway.error_code));
    });
  }

  static ssize_t onRead(nghttp2_session *, std::int32_t Id, std::uint8_t *Out,
                        std::size_t Size, std::uint32_t *Flags,
                        nghttp2_data_source *, void *User) {
    implementation &Self = self(User);
    http2_body_piece Piece;
    const int Result = Self.guarded([&] {
      Piece = Self.Hooks.ReadBody(
          Id, std::span<char>(reinterpret_cast<char *>(Out), Size));
    });
    if (Result != 0)
      return Result;
    if (Piece.Deferred)
      return NGHTTP2_ERR_DEFERRED;
    if (Piece.Ended)
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(Piece.Size);
  }

  http2_role Role;
  http2_hooks Hooks;
  std::unique_ptr<nghttp2_session, session_deleter> Session;
  std::exception_ptr Failure;
};

http2_session::http2_session(http2_role Role, const peer_limits &Limits,
                             http2_hooks Hooks)
    : Implementation(
          std::make_unique<implementation>(Role, Limits, std::move(Hooks))) {}

http2_session::~http2_session() = default;

http2_stream_id http2_session::openStream() {
  const std::array<nghttp2_nv, 4> Headers{
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", "peer"), header(":path", "/bw/peer/v1")};
  const nghttp2_data_provider Provider = Implementation->bodyProvider();
  const http2_stream_id Id =
      nghttp2_submit_request(Implementation->session(), nullptr, Headers.data(),
                             Headers.size(), &Provider, nullptr);
  check(Id, "HTTP/2 request");
  return Id;
}

void http2_session::answerStream(http2_stream_id Id) {
  const std::array<nghttp2_nv, 1> Headers{header(":status", "200")};
  const nghttp2_data_provider Provider = Implementation->bodyProvider();
  check(nghttp2_submit_response(Implementation->session(), Id, Headers.data(),
                                Headers.size(), &Provider),
        "HTTP/2 response");
}

void http2_session::resumeBody(http2_stream_id Id) {
  // The call fails when the body was not deferred, which needs no action.
  static_cast<void>(nghttp2_session_resume_data(Implementation->session(), Id));
}

void http2_session::resetStream(http2_stream_id Id, http2_close Reason) {
  check(nghttp2_submit_rst_stream(Implementation->session(), NGHTTP2_FLAG_NONE,
                                  Id, errorCode(Reason)),
        "HTTP/2 reset");
}

void http2_session::consumed(http2_stream_id Id, byte_count Bytes) {
  check(nghttp2_session_consume_stream(Implementation->session(), Id,
                                       Bytes.value()),
        "HTTP/2 stream window");
}

void http2_session::ping() {
  check(nghttp2_submit_ping(Implementation->session(), NGHTTP2_FLAG_NONE,
                            nullptr),
        "HTTP/2 ping");
}

void http2_session::receive(std::string_view Bytes) {
  Implementation->receive(Bytes);
}

std::string http2_session::takeOutput(std::size_t Target) {
  return Implementation->takeOutput(Target);
}

bool http2_session::isFinished() const {
  return nghttp2_session_want_read(Implementation->session()) == 0 &&
         nghttp2_session_want_write(Implementation->session()) == 0;
}
