#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <stdexcept>

namespace review {
namespace {

constexpr int kPollMs = 5;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void Reset(int socket) {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(socket);
}

void NoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Passes on what has arrived; false at the end of the connection.
bool Pass(int from, int to) {
  std::array<char, 65536> bytes;
  const ssize_t got = recv(from, bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  for (ssize_t sent = 0; sent < got;) {
    const ssize_t part = send(to, bytes.data() + sent,
                              static_cast<std::size_t>(got - sent),
                              MSG_NOSIGNAL);
    if (part <= 0) {
      return false;
    }
    sent += part;
  }
  return true;
}

}  // namespace

Proxy::Proxy(std::uint16_t target) : target(target) {
  this->Open();
}

Proxy::~Proxy() {
  this->Close();
}

void Proxy::Open() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(this->own_port);
  socklen_t size = sizeof address;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 128) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    close(listener);
    throw std::runtime_error("a proxy cannot listen");
  }
  this->own_port = ntohs(address.sin_port);
  ++this->life;
  this->acceptor = std::thread([this, listener] { this->Accept(listener); });
}

void Proxy::Close() {
  if (this->life % 2 == 0) {
    return;
  }
  ++this->life;
  this->acceptor.join();
  while (this->connections > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Proxy::Accept(int listener) {
  const std::uint64_t now = this->life;
  while (this->life == now) {
    pollfd waiting{listener, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) {
      continue;
    }
    const int socket = accept(listener, nullptr, nullptr);
    if (socket >= 0) {
      ++this->connections;
      std::thread([this, socket, now] {
        this->Forward(socket, now);
        --this->connections;
      }).detach();
    }
  }
  close(listener);
}

void Proxy::Forward(int from, std::uint64_t now) {
  const std::uint64_t resets_before = this->resets;
  const int to = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(this->target);
  if (connect(to, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    Reset(from);
    close(to);
    return;
  }
  NoDelay(from);
  NoDelay(to);
  bool open = true;
  while (open && this->life == now && this->resets == resets_before) {
    std::array<pollfd, 2> waiting{{{from, POLLIN, 0}, {to, POLLIN, 0}}};
    if (poll(waiting.data(), waiting.size(), kPollMs) <= 0) {
      continue;
    }
    if (waiting[0].revents != 0) {
      open = Pass(from, to);
    }
    if (open && waiting[1].revents != 0) {
      open = Pass(to, from);
    }
  }
  Reset(from);
  close(to);
}

}  // namespace review
