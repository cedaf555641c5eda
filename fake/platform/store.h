#ifndef FAKE_PLATFORM_STORE_H_
#define FAKE_PLATFORM_STORE_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/random.h"
#include "net/http.h"

namespace kch::fake {

/*! @brief What a part of the platform does with requests. */
enum class Outage : std::uint8_t {
  kNone,
  kRefuse,  // 503 without effect
  kHang,    // no effect and no answer
};

/*! @brief Faults of the store. */
struct StoreFaults {
  Outage down = Outage::kNone;
  std::int64_t slow_ms = 0;        // added before each call takes effect
  std::int64_t lose_percent = 0;   // calls that take effect without a reply
  std::int64_t lose_status = 0;    // sent in place of a lost reply; 0: nothing
  std::int64_t watch_late_ms = 0;  // between a change and the watch's answer
  std::int64_t watch_stale_percent = 0;  // watches answered with older values
};

/*! @brief Key-value store with the part of the Consul HTTP interface that the
 * design page lists. Used on the thread of its context only. */
class Store {
 public:
  Store(asio::io_context& io, std::uint64_t seed);

  /*! @brief Handles `/v1/kv/...` and `/v1/txn`. */
  void Handle(const net::HttpRequest& request, const net::HttpReply& reply);
  /*! @brief Replaces the faults. */
  void SetFaults(const StoreFaults& next);
  /*! @brief Drops calls in progress; call it before their server ends. */
  void DropCalls();
  /*! @brief Faults in force. */
  [[nodiscard]] const StoreFaults& current_faults() const {
    return this->faults;
  }
  /*! @brief Restarts the draws of faults. */
  void Seed(std::uint64_t seed) { this->random.seed(seed); }
  /*! @brief Numbers of calls since the start. */
  [[nodiscard]] nlohmann::json Counters() const;

 private:
  struct Version {
    std::string value;
    std::uint64_t index = 0;
  };
  struct Record {
    Version now;
    std::optional<Version> before;
  };
  struct Watch {
    explicit Watch(asio::io_context& io) : timer(io) {}

    std::string key;
    bool recurse = false;
    std::uint64_t index = 0;
    net::HttpReply reply;
    asio::steady_timer timer;
  };

  struct Delayed {
    explicit Delayed(asio::io_context& io) : timer(io) {}

    std::function<void()> function;
    asio::steady_timer timer;
  };

  void Execute(const net::HttpRequest& request, const net::HttpReply& reply);
  void Read(const net::HttpRequest& request, const net::HttpReply& reply);
  void Wait(std::string key,
            bool recurse,
            std::uint64_t index,
            std::int64_t wait_ms,
            const net::HttpReply& reply);
  void Transact(const net::HttpRequest& request, const net::HttpReply& reply);
  void WakeWatches();
  void Later(std::int64_t ms, std::function<void()> function);
  bool Draw(std::int64_t percent);
  [[nodiscard]] std::uint64_t IndexOf(const std::string& key,
                                      bool recurse) const;
  [[nodiscard]] net::HttpResponse View(const std::string& key,
                                       bool recurse,
                                       bool stale) const;

  asio::io_context& io;
  Random random;
  StoreFaults faults;
  std::map<std::string, Record> records;
  std::uint64_t last_index = 1;
  std::list<Watch> watches;
  std::list<Delayed> delayed;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t watches_begun = 0;
  std::uint64_t watches_fired = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;
  std::uint64_t bytes_written = 0;
};

}  // namespace kch::fake

#endif  // FAKE_PLATFORM_STORE_H_
