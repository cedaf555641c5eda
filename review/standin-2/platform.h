#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "fake/event_loop.h"
#include "fake/fleet/key_store.h"
#include "net/net.h"

namespace review {

/*! @brief Writes record.txt: one line an event, with the time in ms. */
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  [[nodiscard]] std::int64_t ElapsedMs() const;

 private:
  std::mutex mutex;
  std::ofstream file;
  kch::Time begun;
};

/*! @brief A run at work on a VM. */
struct Run {
  std::int64_t number = 0;
  std::int64_t ends_ms = 0;  // on the VM's clock
  bool fails = false;
  bool lasts = false;
  std::int64_t stops_ms = 0;  // 0: not being stopped
};

/*! @brief An end in the list of a VM. */
struct End {
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
  bool lapsed_since = false;   // the VM's lease lapsed after this end
  bool started_since = false;  // the task was started again after this end
};

/*! @brief One VM of the platform, as PROTOCOL.md describes a minion. */
struct Vm {
  std::string id;
  std::string address;
  std::string zone;
  std::string rack;
  std::int64_t born_ms = 0;
  kch::Time born;
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> refused;  // runs up to here are refused
  std::deque<End> ended;                        // not acknowledged
  std::int64_t last_end = 0;
  kch::Time next_heartbeat;
  bool cut = false;  // partitioned from all machines of the system
  bool up = true;
  std::int64_t sequence = 0;

  [[nodiscard]] std::int64_t ClockMs(kch::Time now) const {
    return kch::ToMs(now - this->born);
  }
};

struct Options {
  std::size_t vms = 2;
  std::int64_t cpu = 64000;
  std::int64_t memory_mb = 131072;
  int max_attempts = 3;
  std::int64_t max_lease_ms = 10000;
  std::int64_t stop_ms = 40;  // from an order to stop until the run has ended
  std::int64_t heartbeat_ms = 1500;
};

/*! @brief The platform's store, machine list and VMs on loopback, and the check
 * of rule TWICE from what the VMs see. */
class Platform {
 public:
  Platform(const Options& options, Record& record);
  ~Platform();

  [[nodiscard]] std::string address() const;
  /*! @brief Runs a function on the platform's thread. */
  template <typename F>
  auto With(F function) {
    return this->loop.Call([&] { return function(*this); });
  }
  // Used on the platform's thread only.
  std::map<std::string, Vm> vms;
  kch::fake::KeyStore store;
  // The store carries out a call, and answers it, after this time.
  std::chrono::milliseconds store_time;
  /*! @brief The store answers nobody, carries out nothing and cuts off watches,
   * or serves again. Leases run out meanwhile. */
  void SetStoreSilent(bool silent);
  std::vector<std::string> breaks;  // of rules
  std::int64_t starts = 0;
  std::int64_t first_start_ms = 0;  // as in the record
  std::map<std::string, std::int64_t> first_start;  // by job, as in the record
  // Called after a start was carried out and answered.
  std::function<void(Vm&, const std::string& task, std::int64_t run)> on_start;
  // Called for each call to a VM that is up; true if it has taken the call.
  std::function<bool(Vm&,
                     const std::string& call,
                     const kch::net::HttpRequest&,
                     const kch::net::HttpReply&)>
      intercept;
  /*! @brief Carries a call out at a VM, as it is at that time. */
  void Execute(const std::string& id,
               const kch::net::HttpRequest& request,
               const kch::net::HttpReply& reply);
  /*! @brief The VM goes dark, and its runs end. */
  void Crash(Vm& vm);
  /*! @brief It starts again under its id, and writes its first heartbeat after
   * `beat_ms`. */
  void Restart(Vm& vm, int beat_ms);
  /*! @brief Runs a function later on the platform's thread. */
  void After(int ms, std::function<void()> action);
  void Put(const std::string& key, const nlohmann::json& value);

 private:
  struct Waiting {
    std::string vm;
    std::int64_t last_seen = 0;
    kch::Time until;
    kch::net::HttpReply reply;
  };

  void Tick();
  void Advance(Vm& vm, kch::Time now);
  void EndRun(Vm& vm, const std::string& task, const std::string& how);
  void Register(Vm& vm);
  void HandleShared(const kch::net::HttpRequest& request,
                    const kch::net::HttpReply& reply);
  void HandleVm(const std::string& id,
                const kch::net::HttpRequest& request,
                const kch::net::HttpReply& reply);
  void Start(Vm& vm,
             const nlohmann::json& body,
             const kch::net::HttpReply& reply);
  void CheckStart(Vm& vm, const std::string& task, std::int64_t run);
  void Acknowledge(Vm& vm, std::int64_t last_seen);
  void ExtendLease(Vm& vm, const nlohmann::json& body, kch::Time now) const;
  bool AnswerHold(const Waiting& waiting, kch::Time now);

  Options options;
  Record& record;
  std::vector<Waiting> holds;
  std::vector<kch::net::HttpReply> silent;  // calls that get no answer
  // Calls to the store that are on their way.
  std::multimap<kch::Time, std::function<void()>> later;
  bool store_silent = false;
  kch::fake::EventLoop loop;
  asio::steady_timer timer;
  std::unique_ptr<kch::net::HttpServer> shared;
  std::map<std::string, std::unique_ptr<kch::net::HttpServer>> servers;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_PLATFORM_H_
