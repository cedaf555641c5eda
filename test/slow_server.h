#ifndef TEST_SLOW_SERVER_H_
#define TEST_SLOW_SERVER_H_

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace kch {

/*! @brief HTTP server whose answers arrive in parts with a pause after each, as
 * over a slow link. */
class SlowServer {
 public:
  /*! @brief How an answer's body is sent; after `parts_sent` parts the
   * connection stays open in silence. */
  struct Answer {
    std::string body;
    std::size_t parts = 1;
    std::size_t parts_sent = parts;
    std::chrono::milliseconds pause{0};
    std::chrono::milliseconds delay{0};  // before the first byte
    bool silent = false;                 // not even a status is sent
    bool closes = false;  // the connection is closed without an answer
    int status = 200;
  };
  /*! @brief Called with each request's head and the number of its connection;
   * the calls do not overlap. */
  using Handler =
      std::function<Answer(const std::string& head, std::size_t connection)>;

  explicit SlowServer(Handler handler)
      : handler(std::move(handler)),
        acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
        thread([this] { this->Accept(); }) {}

  ~SlowServer() {
    this->stopping = true;
    // Ends the accept that waits.
    asio::ip::tcp::socket last(this->context);
    asio::error_code ignored;
    last.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    for (Connection& connection : this->connections) {
      connection.socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
      connection.thread.join();
    }
  }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  struct Connection {
    asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void Accept() {
    while (true) {
      asio::ip::tcp::socket socket(this->context);
      asio::error_code error;
      this->acceptor.accept(socket, error);
      if (error || this->stopping) {
        return;
      }
      const std::size_t number = this->connections.size();
      this->connections.push_back({std::move(socket), {}});
      Connection& connection = this->connections.back();
      connection.thread = std::thread([this, &connection, number] {
        this->Serve(connection.socket, number);
      });
    }
  }

  void Serve(asio::ip::tcp::socket& socket, std::size_t number) {
    asio::error_code error;
    std::string input;
    while (true) {
      const std::size_t length = asio::read_until(
          socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
      if (error) {
        return;
      }
      Answer answer;
      {
        const std::lock_guard lock(this->mutex);
        answer = this->handler(input.substr(0, length), number);
      }
      input.erase(0, length);
      if (answer.closes) {
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
        return;
      }
      if (answer.silent) {
        continue;
      }
      std::this_thread::sleep_for(answer.delay);
      asio::write(socket,
                  asio::buffer("HTTP/1.1 " + std::to_string(answer.status) +
                               " Status\r\nContent-Length: " +
                               std::to_string(answer.body.size()) + "\r\n\r\n"),
                  error);
      const std::size_t part = answer.body.size() / answer.parts + 1;
      for (std::size_t i = 0; i < answer.parts_sent && !error; ++i) {
        asio::write(socket,
                    asio::buffer(answer.body.substr(
                        std::min(answer.body.size(), i * part), part)),
                    error);
        std::this_thread::sleep_for(answer.pause);
      }
    }
  }

  Handler handler;
  std::mutex mutex;  // of the handler's calls
  std::atomic<bool> stopping = false;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace kch

#endif  // TEST_SLOW_SERVER_H_
