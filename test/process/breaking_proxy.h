#ifndef TEST_PROCESS_BREAKING_PROXY_H_
#define TEST_PROCESS_BREAKING_PROXY_H_

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace kch::test {

/*! @brief Passes connections on to a server on loopback and can reset one of
 * them when its request has reached the server, before any byte of the answer
 * is passed back. */
class BreakingProxy {
 public:
  /*! @brief Decides on each part of a request whether its connection is reset
   * once the server has answered; runs on the proxy's thread. */
  using Rule = std::function<bool(const std::string& sent)>;

  BreakingProxy(const std::string& server, Rule rule)
      : rule(std::move(rule)),
        server(asio::ip::make_address(server.substr(0, server.rfind(':'))),
               static_cast<std::uint16_t>(
                   std::stoi(server.substr(server.rfind(':') + 1)))),
        acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~BreakingProxy() {
    this->context.stop();
    this->thread.join();
  }
  BreakingProxy(const BreakingProxy&) = delete;
  BreakingProxy& operator=(const BreakingProxy&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  using Socket = asio::ip::tcp::socket;
  struct Connection {
    explicit Connection(Socket accepted)
        : caller(std::move(accepted)), server(this->caller.get_executor()) {}

    Socket caller;
    Socket server;
    std::array<char, 1 << 16> sent{};
    std::array<char, 1 << 16> answered{};
    bool breaks = false;
  };
  using Shared = std::shared_ptr<Connection>;

  void Accept() {
    this->acceptor.async_accept([this](asio::error_code error, Socket socket) {
      if (error) {
        return;
      }
      const auto connection = std::make_shared<Connection>(std::move(socket));
      connection->server.connect(this->server, error);
      if (!error) {
        this->PassRequest(connection);
        this->PassAnswer(connection);
      }
      this->Accept();
    });
  }

  void PassRequest(const Shared& connection) {
    connection->caller.async_read_some(
        asio::buffer(connection->sent),
        [this, connection](asio::error_code error, std::size_t size) {
          if (error) {
            Close(*connection);
            return;
          }
          if (this->rule(std::string(connection->sent.data(), size))) {
            connection->breaks = true;
          }
          asio::write(connection->server,
                      asio::buffer(connection->sent.data(), size), error);
          this->PassRequest(connection);
        });
  }

  void PassAnswer(const Shared& connection) {
    connection->server.async_read_some(
        asio::buffer(connection->answered),
        [this, connection](asio::error_code error, std::size_t size) {
          if (error || connection->breaks) {
            // Without a time to linger, closing sends a reset.
            connection->caller.set_option(asio::socket_base::linger(true, 0),
                                          error);
            Close(*connection);
            return;
          }
          asio::write(connection->caller,
                      asio::buffer(connection->answered.data(), size), error);
          this->PassAnswer(connection);
        });
  }

  static void Close(Connection& connection) {
    asio::error_code ignored;
    connection.caller.close(ignored);
    connection.server.close(ignored);
  }

  Rule rule;
  asio::ip::tcp::endpoint server;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

}  // namespace kch::test

#endif  // TEST_PROCESS_BREAKING_PROXY_H_
