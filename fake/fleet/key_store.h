#ifndef FAKE_FLEET_KEY_STORE_H_
#define FAKE_FLEET_KEY_STORE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/base.h"
#include "net/http.h"

namespace kch::fake {

/*! @brief The store of the users' platform: keys with revisions, transactions,
 * leases and watches. Used on one thread. */
class KeyStore {
 public:
  /*! @brief Handles `kv-...` calls, given without their common prefix. */
  void Handle(const std::string& call,
              const net::HttpRequest& request,
              const net::HttpReply& reply,
              Time now);
  /*! @brief Ends leases and waits that are over. */
  void Tick(Time now);
  /*! @brief Refuses all calls, or serves again. Waiting watches are cut off and
   * leases go on to run out, which shows once the store is back. */
  void SetDown(bool down);
  /*! @brief Discards the history: watches from an earlier revision are answered
   * 410. */
  void DropHistory();
  /*! @brief Drops calls in progress; call it before their server ends. */
  void DropCalls();

  // Changes of the platform's own writers.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  [[nodiscard]] std::optional<std::string> Value(const std::string& key) const;
  /*! @brief Revision at which a record was created; 0: there is none. */
  [[nodiscard]] std::uint64_t CreatedAt(const std::string& key) const;

 private:
  struct Record {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    nlohmann::json row;
  };
  struct Lease {
    Duration ttl{};
    Time ends;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    Time until;
    net::HttpReply reply;
  };

  void Get(const net::HttpRequest& request, const net::HttpReply& reply) const;
  void List(const net::HttpRequest& request, const net::HttpReply& reply) const;
  void Transact(const net::HttpRequest& request, const net::HttpReply& reply);
  bool AnswerWatch(const Watch& watch, Time now) const;
  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t lease);
  void Erase(const std::string& key);

  std::map<std::string, Record> records;
  std::deque<Event> history;
  std::uint64_t history_from = 0;  // earlier events are discarded
  std::map<std::uint64_t, Lease> leases;
  std::list<Watch> watches;
  std::list<Watch> cut_off;  // their connections stay open without an answer
  bool is_down = false;
  std::uint64_t revision = 10;
  std::uint64_t last_lease = 0;
};

}  // namespace kch::fake

#endif  // FAKE_FLEET_KEY_STORE_H_
