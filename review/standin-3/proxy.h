#ifndef REVIEW_STANDIN_3_PROXY_H_
#define REVIEW_STANDIN_3_PROXY_H_

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace review {

/*! @brief Forwards connections on loopback to a port, and resets one if a rule
 * says so of the bytes that a client sends on it; these are not forwarded. Runs
 * on the thread of its context. */
class Proxy {
 public:
  using Resets = std::function<bool(std::string_view sent)>;

  Proxy(asio::io_context& context, std::uint16_t to, Resets resets)
      : context(context),
        acceptor(context,
                 {asio::ip::address_v4::loopback(), std::uint16_t{0}}),
        to(asio::ip::address_v4::loopback(), to),
        resets(std::move(resets)) {
    this->Accept();
  }

  [[nodiscard]] std::uint16_t port() const {
    return this->acceptor.local_endpoint().port();
  }

 private:
  using Socket = asio::ip::tcp::socket;
  struct Link : std::enable_shared_from_this<Link> {
    Socket client;
    Socket server;
    const Resets& resets;
    std::array<char, 16384> up{};
    std::array<char, 16384> down{};

    Link(Socket accepted, asio::io_context& context, const Resets& resets)
        : client(std::move(accepted)), server(context), resets(resets) {}

    void Close(bool reset) {
      asio::error_code ignored;
      if (reset) {
        this->client.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      this->client.close(ignored);
      this->server.close(ignored);
    }
    void Start(const asio::ip::tcp::endpoint& to) {
      this->server.async_connect(
          to, [self = this->shared_from_this()](const asio::error_code& error) {
            if (error) {
              self->Close(true);
              return;
            }
            asio::error_code ignored;
            self->client.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->server.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->Forward(self->client, self->server, self->up, true);
            self->Forward(self->server, self->client, self->down, false);
          });
    }
    void Forward(Socket& from,
                 Socket& into,
                 std::array<char, 16384>& buffer,
                 bool from_client) {
      from.async_read_some(
          asio::buffer(buffer),
          [self = this->shared_from_this(), &from, &into, &buffer, from_client](
              const asio::error_code& error, std::size_t size) {
            if (error) {
              self->Close(false);
              return;
            }
            if (from_client &&
                self->resets(std::string_view(buffer.data(), size))) {
              self->Close(true);
              return;
            }
            asio::async_write(
                into, asio::buffer(buffer.data(), size),
                [self, &from, &into, &buffer, from_client](
                    const asio::error_code& failed, std::size_t) {
                  if (failed) {
                    self->Close(false);
                  } else {
                    self->Forward(from, into, buffer, from_client);
                  }
                });
          });
    }
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& error, Socket accepted) {
          if (error) {
            return;
          }
          std::make_shared<Link>(std::move(accepted), this->context,
                                 this->resets)
              ->Start(this->to);
          this->Accept();
        });
  }

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::endpoint to;
  Resets resets;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_PROXY_H_
