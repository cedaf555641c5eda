#include "net/http_server.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <restinio/all.hpp>
#include <utility>

namespace kch::net {
namespace {

struct ServerTraits : restinio::default_traits_t {
  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio looks it up.
  using logger_t = restinio::null_logger_t;
};
using Server = restinio::http_server_t<ServerTraits>;

std::string LowerCase(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

HttpRequest Convert(restinio::request_t& source) {
  HttpRequest request;
  request.method = source.header().method().c_str();
  request.path = std::string(source.header().path());
  // Clients may leave "/" and other characters unescaped in a query. Malformed
  // queries are treated as absent; handlers check what they need.
  if (auto query =
          restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
              source.header().query())) {
    for (const auto& [name, value] : *query) {
      request.query[std::string(name)] = std::string(value);
    }
  }
  source.header().for_each_field([&request](const auto& field) {
    request.headers[LowerCase(field.name())] = field.value();
  });
  request.body = source.body();
  return request;
}

void Respond(restinio::request_t& source, HttpResponse response) {
  const auto status =
      restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
  auto builder =
      source.create_response(restinio::http_status_line_t(status, "Status"));
  builder.append_header(restinio::http_field::content_type,
                        response.content_type);
  for (auto& [name, value] : response.headers) {
    builder.append_header(std::move(name), std::move(value));
  }
  builder.set_body(std::move(response.body));
  builder.done();
}

}  // namespace

using ThreadPool = restinio::impl::ioctx_on_thread_pool_t<
    restinio::impl::own_io_context_for_thread_pool_t>;

class HttpServer::Impl {
 public:
  explicit Impl(std::size_t threads)
      : pool(std::make_shared<ThreadPool>(threads)) {}

  std::uint16_t port = 0;
  // Shared with unanswered requests, whose timers need the context.
  std::shared_ptr<ThreadPool> pool;
  std::unique_ptr<Server> server;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    const HttpServerOptions& options,
    HttpHandler handler) {
  auto impl = std::make_unique<Impl>(options.threads);
  const auto timeout = std::chrono::milliseconds(options.request_timeout_ms);
  try {
    impl->server = std::make_unique<Server>(
        restinio::external_io_context(impl->pool->io_context()),
        [&](auto& settings) {
          settings.address(options.address)
              .port(options.port)
              .handle_request_timeout(timeout)
              .write_http_response_timelimit(timeout)
              .buffer_size(16U << 10U)
              .max_pipelined_requests(1)
              .incoming_http_msg_limits(
                  restinio::incoming_http_msg_limits_t{}
                      .max_url_size(2048)
                      .max_field_name_size(256)
                      .max_field_value_size(options.max_header_bytes)
                      .max_field_count(options.max_headers)
                      .max_body_size(options.max_body_bytes))
              .acceptor_post_bind_hook(
                  [raw = impl.get()](asio::ip::tcp::acceptor& acceptor) {
                    raw->port = acceptor.local_endpoint().port();
                  })
              .request_handler([handler = std::move(handler),
                                weak = std::weak_ptr<ThreadPool>(impl->pool)](
                                   const restinio::request_handle_t& request) {
                HttpRequest converted = Convert(*request);
                handler(std::move(converted),
                        [keep = weak.lock(), request](HttpResponse response) {
                          Respond(*request, std::move(response));
                        });
                return restinio::request_accepted();
              });
        });
    impl->server->open_sync();
    impl->pool->start();
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + options.address + ":" +
                    std::to_string(options.port) + ": " + error.what(),
                "check that the address is local and the port is free");
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

HttpServer::~HttpServer() {
  this->impl->pool->stop();
  this->impl->pool->wait();
}

std::uint16_t HttpServer::port() const {
  return this->impl->port;
}

}  // namespace kch::net
