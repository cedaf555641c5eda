#ifndef REVIEW_STANDIN_WORLD_H_
#define REVIEW_STANDIN_WORLD_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fake/fleet/key_store.h"
#include "net/http.h"
#include "net/http_server.h"
#include "proxy.h"

// Stand-ins for the platform of one case: its store, its machine list and its
// minions, on loopback and the real clock. They record what they see and judge
// each start by the rules.

namespace review {

using Json = nlohmann::json;

/*! @brief Amounts of processor (thousandths) and memory. */
struct Amounts {
  std::int64_t cpu = 0;
  std::int64_t mem = 0;
};

/*! @brief A tenant of the configuration. */
struct Tenant {
  std::string name;
  std::string key;
  Amounts maximum;  // 0: no limit
};

/*! @brief A queue of the configuration. */
struct Route {
  std::string name;
  std::string service;
  std::string host = "jobs.example";
  int max_attempts = 3;
};

/*! @brief What a client handed in. */
struct Job {
  std::string id;
  std::string tenant;
  std::string route;
  std::string spec;
  Json steps;
};

/*! @brief A run on a minion. */
struct Run {
  std::int64_t number = 0;
  std::int64_t begun_ms = 0;  // of the case
  std::int64_t length_ms = 0;
  bool lasts = false;
  std::int64_t fails_after_ms = -1;
  std::int64_t stopped_at_ms = -1;  // when its stop ends it; -1: no stop
  std::string tenant;
  Amounts need;
};

/*! @brief One minion, which may restart under its id. */
struct Minion {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  Amounts capacity;
  std::uint16_t port = 0;

  bool up = false;
  bool cut = false;  // no packet arrives or leaves
  std::int64_t born_ms = 0;  // Unix time
  std::int64_t clock_zero_ms = 0;  // time of the case at which its clock was 0
  std::uint64_t fence = 0;
  std::int64_t until_ms = 0;  // lease of all runs, on its clock
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> refused;  // runs up to here are refused
  std::vector<Json> ended;
  std::int64_t last_end = 0;
  std::map<std::int64_t, std::int64_t> end_times;  // by number of the end
  std::int64_t lapsed_ms = -1;  // when its lease was last seen to be over
  std::int64_t next_beat_ms = 0;
  std::int64_t last_beat_ms = 0;
  std::string entry;  // as last written, without its sequence
  std::unique_ptr<kch::net::HttpServer> server;
  std::unique_ptr<Proxy> proxy;  // the address that the fleet knows
};

/*! @brief A machine of the platform's list. */
struct Machine {
  std::string id;
  std::string minion;
  std::string state = "up";
  std::uint64_t fence = 0;
  std::set<std::int64_t> waves;
  int lives = 1;
};

/*! @brief Bounds of the deployment: those of the site naidu-easels. */
struct Bounds {
  std::int64_t max_hold_ms = 6000;
  std::int64_t stop_grace_ms = 900;
  std::int64_t heartbeat_ms = 1500;
  std::int64_t lease_ms = 3000;
  std::int64_t maintenance_ms = 2000;
  double quota_overage = 0.1;
};

/*! @brief What becomes of one call of the store. */
enum class StoreFault {
  kNone,
  kSilent,  // no effect; its connection returns nothing
  kRefuse,  // 503, no effect
  kReset,   // carried out; then the caller's connections are reset
  kLate,    // gets no answer and is carried out late_store_ms later
};

/*! @brief The whole platform. */
class World {
 public:
  World();
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Bounds bounds;
  /*! @brief Time that a stopped run takes to end. */
  std::int64_t stop_takes_ms = 50;
  /*! @brief Time from a minion's start to its first heartbeat. */
  std::int64_t first_beat_ms = 100;
  /*! @brief What becomes of a caller's call of the store. Called with the lock
   * held. */
  std::function<StoreFault(std::size_t caller, const std::string& call,
                           const kch::net::HttpRequest& request)>
      store_fault;
  std::int64_t late_store_ms = 3000;
  /*! @brief The store answers nobody; leases and entries run out meanwhile. It
   * is back with the second call, and entries return after `beat_after`. */
  void StoreDown();
  void StoreBack(const std::function<std::int64_t(const std::string& minion)>&
                     beat_after);
  /*! @brief Time of the case of a minion's next heartbeat. */
  void SetNextBeat(const std::string& minion, std::int64_t at_ms);
  /*! @brief Upkeep orders that get no answer and are carried out this much
   * later; none: carried out at once. Called with the lock held. */
  std::function<std::optional<std::int64_t>(const std::string& machine)>
      late_upkeep;

  /*! @brief Opens an address of store and machine list for one caller. */
  std::size_t AddCaller();
  [[nodiscard]] std::string CallerAddress(std::size_t caller) const;
  void SetConfig(std::vector<Tenant> tenants, std::vector<Route> routes);
  void Publish();
  void AddMinion(const std::string& id,
                 const std::string& service,
                 const std::string& zone,
                 const std::string& rack,
                 Amounts capacity);
  /*! @brief The minion's process ends; connections to it are refused. */
  void Crash(const std::string& id);
  /*! @brief It starts again under its id, address and machine. */
  void Restart(const std::string& id);
  void RequestWave(std::int64_t number,
                   const std::vector<std::string>& machines,
                   int most,
                   int length_s);

  void AddJob(const Job& job);

  [[nodiscard]] std::int64_t NowMs() const;
  /*! @brief Tasks of a job that run now. */
  [[nodiscard]] int RunningOf(const std::string& job);
  /*! @brief Processor in use on all minions, and what they have. */
  [[nodiscard]] std::pair<std::int64_t, std::int64_t> CpuInUse();
  /*! @brief Tasks of a job that were started, each counted once. */
  [[nodiscard]] int StartedOf(const std::string& job);
  [[nodiscard]] std::optional<std::string> Stored(const std::string& key);
  /*! @brief Number of starts of a task. */
  [[nodiscard]] int StartsOf(const std::string& task);
  [[nodiscard]] int UpkeepsBegun();

  void Note(const std::string& line);
  void Breach(const std::string& rule, const std::string& what);
  [[nodiscard]] std::vector<std::string> breaches();
  void WriteRecord(const std::string& path);

 private:
  void Tick();
  void TickMinion(Minion& minion, std::int64_t now);
  void EndRun(Minion& minion, const std::string& task, const std::string& how);
  void HandleShared(std::size_t caller,
                    const kch::net::HttpRequest& request,
                    const kch::net::HttpReply& reply);
  void HandleMinion(const std::string& id,
                    const kch::net::HttpRequest& request,
                    const kch::net::HttpReply& reply);
  void Start(Minion& minion,
             const Json& body,
             const kch::net::HttpReply& reply);
  void Stop(Minion& minion, const Json& body, const kch::net::HttpReply& reply);
  void Hold(Minion& minion, const Json& body, const kch::net::HttpReply& reply);
  void Upkeep(const kch::net::HttpRequest& request,
              const kch::net::HttpReply& reply);
  void CarryOutUpkeep(const std::string& machine,
                      std::int64_t wave,
                      std::uint64_t fence,
                      const kch::net::HttpReply& reply);
  void ListMachines(const kch::net::HttpReply& reply);
  void NoteEnds(Minion& minion, std::int64_t last_seen);
  void JudgeStart(const Minion& minion, const std::string& task, const Run& run);
  void WriteEntry(Minion& minion, std::int64_t now);
  void Open(Minion& minion);
  [[nodiscard]] std::int64_t ClockOf(const Minion& minion) const;
  [[nodiscard]] Json ReportOf(const Minion& minion) const;

  struct WaitingHold {
    std::string minion;
    std::int64_t born_ms = 0;
    std::int64_t last_seen = 0;
    std::int64_t until_ms = 0;  // of the case
    kch::net::HttpReply reply;
  };

  std::recursive_mutex mutex;
  std::chrono::steady_clock::time_point begun;
  kch::fake::KeyStore store;
  std::map<std::string, std::unique_ptr<Minion>> minions;
  std::map<std::string, Machine> machines;
  std::map<std::string, Job> jobs;
  std::map<std::string, std::vector<std::string>> places;  // starts of a task
  std::map<std::string, int> failures;                     // ends `failed`
  std::set<std::string> done;        // tasks with a run that ended `done`
  std::set<std::string> noted_done;  // of these, ends that LastSeen has reached
  std::map<std::string, std::string> begun_after_done;
  std::vector<Tenant> tenants;
  std::vector<Route> routes;
  std::int64_t version = 0;
  std::vector<WaitingHold> holds;
  std::vector<kch::net::HttpReply> silent;
  std::multimap<std::int64_t, std::function<void()>> later;
  bool store_down = false;
  std::map<std::int64_t, std::pair<std::set<std::string>, int>> waves;
  int upkeeps = 0;
  std::vector<std::string> lines;
  std::vector<std::string> breach_lines;
  std::vector<std::unique_ptr<kch::net::HttpServer>> shared;
  std::vector<std::unique_ptr<Proxy>> shared_proxies;
  std::atomic<bool> ending = false;
  std::thread ticker;
};

}  // namespace review

#endif  // REVIEW_STANDIN_WORLD_H_
