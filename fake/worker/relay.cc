#include "fake/worker/relay.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>
#include <utility>

namespace kch::fake {
namespace {

using asio::ip::tcp;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthField = "\r\ncontent-length:";
constexpr std::string_view kHalfMark = "Kch-Fault: half";

std::size_t ContentLength(std::string_view head) {
  const auto* found =
      std::search(head.begin(), head.end(), kLengthField.begin(),
                  kLengthField.end(), [](char a, char b) {
                    return std::tolower(static_cast<unsigned char>(a)) == b;
                  });
  std::size_t length = 0;
  if (found != head.end()) {
    const char* begin = found + kLengthField.size();
    const char* end = head.data() + head.size();
    while (begin != end && *begin == ' ') {
      ++begin;
    }
    std::from_chars(begin, end, length);
  }
  return length;
}

}  // namespace

class Relay::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Relay& relay, tcp::socket client, std::string path_prefix)
      : relay(relay),
        client(std::move(client)),
        server(relay.io),
        path_prefix(std::move(path_prefix)) {}

  void Start(const tcp::endpoint& endpoint, bool silent) {
    std::error_code ignored;
    this->client.set_option(tcp::no_delay(true), ignored);
    if (silent) {
      this->Discard();
      return;
    }
    this->server.async_connect(
        endpoint, [self = shared_from_this()](std::error_code error) {
          if (error) {
            self->Close();
            return;
          }
          std::error_code ignored;
          self->server.set_option(tcp::no_delay(true), ignored);
          self->ReadClient();
          self->ReadServer();
        });
  }

  void Freeze() {
    if (!std::exchange(this->frozen, true)) {
      --this->relay.served;
    }
  }

  void Close() {
    std::error_code ignored;
    this->client.close(ignored);
    this->server.close(ignored);
    if (this->relay.links.erase(shared_from_this()) == 1 && !this->frozen) {
      --this->relay.served;
    }
  }

 private:
  // False once the link must move no more bytes.
  bool Usable(std::error_code error) {
    if (this->frozen) {
      return false;
    }
    if (error) {
      this->Close();
      return false;
    }
    return true;
  }

  void Discard() {
    this->client.async_read_some(
        asio::buffer(this->from_client),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          if (self->Usable(error)) {
            self->Discard();
          }
        });
  }

  void ReadClient() {
    this->client.async_read_some(
        asio::buffer(this->from_client),
        [self = shared_from_this()](std::error_code error, std::size_t size) {
          if (self->Usable(error)) {
            self->Rewrite({self->from_client.data(), size});
            self->WriteServer();
          }
        });
  }

  // Puts the path prefix into the head of each request.
  void Rewrite(std::string_view data) {
    while (!data.empty()) {
      if (this->body_left > 0) {
        const std::size_t size = std::min(this->body_left, data.size());
        this->to_server.append(data.substr(0, size));
        this->body_left -= size;
        data.remove_prefix(size);
        continue;
      }
      this->head.append(data);
      data = {};
      const std::size_t end = this->head.find(kHeadEnd);
      if (end == std::string::npos) {
        return;
      }
      const std::string rest = this->head.substr(end + kHeadEnd.size());
      this->head.resize(end + kHeadEnd.size());
      this->body_left = ContentLength(this->head);
      const std::size_t space = this->head.find(' ');
      this->head.insert(space + 1, this->path_prefix);
      this->to_server.append(this->head);
      this->head.clear();
      this->Rewrite(rest);
    }
  }

  void WriteServer() {
    asio::async_write(
        this->server, asio::buffer(this->to_server),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          self->to_server.clear();
          if (self->Usable(error)) {
            self->ReadClient();
          }
        });
  }

  void ReadServer() {
    this->server.async_read_some(
        asio::buffer(this->from_server),
        [self = shared_from_this()](std::error_code error, std::size_t size) {
          if (self->Usable(error)) {
            self->WriteClient(size);
          }
        });
  }

  // The server writes the head of an answer at once, so the mark for a cut
  // answer lies within one read.
  void WriteClient(std::size_t size) {
    const std::string_view data(this->from_server.data(), size);
    const bool cut = data.find(kHalfMark) != std::string_view::npos;
    if (cut) {
      const std::size_t body = data.find(kHeadEnd) + kHeadEnd.size();
      size = std::min(size, body + ContentLength(data.substr(0, body)) / 2);
    }
    asio::async_write(
        this->client, asio::buffer(this->from_server.data(), size),
        [self = shared_from_this(), cut](std::error_code error, std::size_t) {
          if (!self->Usable(error)) {
            return;
          }
          if (cut) {
            self->Close();
          } else {
            self->ReadServer();
          }
        });
  }

  static constexpr std::size_t kBufferBytes = 16U << 10U;

  Relay& relay;
  tcp::socket client;
  tcp::socket server;
  std::string path_prefix;
  bool frozen = false;
  std::array<char, kBufferBytes> from_client{};
  std::array<char, kBufferBytes> from_server{};
  std::string head;  // start of a request whose head is not complete
  std::string to_server;
  std::size_t body_left = 0;
};

Relay::Relay(asio::io_context& io, RelayOptions options)
    : io(io), options(std::move(options)), reservation(io), acceptor(io) {
  // A bound socket that never listens keeps the port while the relay refuses
  // connections; otherwise the kernel may give the port to someone else.
  const tcp::endpoint any(asio::ip::make_address(this->options.address), 0);
  this->reservation.open(tcp::v4());
  this->reservation.set_option(ReusePort(true));
  this->reservation.bind(any);
  this->listen_port = this->reservation.local_endpoint().port();
  this->Open();
}

Relay::~Relay() = default;

void Relay::Open() {
  if (this->acceptor.is_open()) {
    return;
  }
  this->acceptor.open(tcp::v4());
  this->acceptor.set_option(ReusePort(true));
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(
      {asio::ip::make_address(this->options.address), this->listen_port});
  this->acceptor.listen();
  this->Accept();
}

void Relay::Accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, tcp::socket client) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const bool excess = this->served >= this->options.max_connections;
          auto link =
              std::make_shared<Link>(*this, std::move(client),
                                     excess ? this->options.excess_path_prefix
                                            : this->options.path_prefix);
          this->links.insert(link);
          ++this->served;
          link->Start({asio::ip::make_address(this->options.address),
                       this->options.server_port},
                      this->silent);
        }
        this->Accept();
      });
}

void Relay::Freeze() {
  for (const auto& link : this->links) {
    link->Freeze();
  }
}

void Relay::Close() {
  std::error_code ignored;
  this->acceptor.close(ignored);
  const auto open = this->links;
  for (const auto& link : open) {
    link->Close();
  }
}

}  // namespace kch::fake
