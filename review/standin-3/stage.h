#ifndef REVIEW_STANDIN_3_STAGE_H_
#define REVIEW_STANDIN_3_STAGE_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake/event_loop.h"
#include "fake/fleet/key_store.h"
#include "net/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "proxy.h"

namespace review {

using kch::net::HttpReply;
using kch::net::HttpRequest;
using kch::net::HttpResponse;
using nlohmann::json;

/*! @brief Settings of a small deployment: those that the deploy file takes from
 * the users' bounds. */
inline constexpr std::int64_t kHeartbeatMs = 1500;
inline constexpr std::int64_t kMaxHoldMs = 6000;
inline constexpr std::int64_t kStopGraceMs = 900;
inline constexpr std::int64_t kLeaseMs = 3000;

/*! @brief A run of a task on a minion. */
struct Run {
  std::int64_t run = 0;
  std::int64_t started_ms = 0;  // of the stage's clock
  std::int64_t length_ms = 0;   // 0: until it is stopped
};

/*! @brief A minion as PROTOCOL.md describes it: lease, fencing token, lists of
 * runs and ends. Its clock starts with each life. */
struct Minion {
  std::string id;
  std::string label;
  std::string address;
  std::int64_t born_ms = 0;   // Unix time
  std::int64_t start_ms = 0;  // of this life, of the stage's clock
  bool up = true;
  std::uint64_t fence = 0;
  std::int64_t lease_until = 0;  // on its clock
  std::map<std::string, Run> running;
  std::map<std::string, std::int64_t> refused;  // runs up to here
  std::deque<json> ended;
  std::int64_t last_end = 0;
  std::int64_t lapsed_end = 0;  // its lease lapsed after the ends up to here
  std::int64_t register_at = 0;  // the first heartbeat of this life; 0: sent
};

/*! @brief What becomes of one call to a minion or the store. */
enum class Fate {
  kServe,
  kSilent,  // neither carried out nor answered
  kKeep,    // no answer; carried out when the script says so
  kGarbled  // answered with a body that is no valid JSON text
};

/*! @brief Store, machine list and minions on loopback, and kch-fleet processes
 * that are started with the command of the deploy file. */
class Stage {
 public:
  explicit Stage(const std::string& record_path);
  ~Stage();

  // Runs on the stage's thread.
  std::function<Fate(const std::string& minion,
                     const std::string& call,
                     const json& body)>
      on_minion_call;
  std::function<Fate(std::size_t process,
                     const std::string& call,
                     const std::string& body)>
      on_store_call;

  // Whether the connection to a minion is reset as these bytes come; runs on the
  // stage's thread.
  std::function<bool(const std::string& minion, std::string_view sent)>
      resets_connection;

  void AddMinion(const std::string& id, const std::string& label);
  void PublishConfig();
  /*! @brief Starts process `number` and waits until it serves. */
  void StartProcess(std::size_t number);
  void Kill(std::size_t number);
  /*! @brief Whether the process has ended by itself; its wait status. */
  std::optional<int> Ended(std::size_t number);
  [[nodiscard]] std::optional<std::size_t> Owner();

  /*! @brief A minion crashes; it may start again under its id. */
  void Crash(const std::string& id);
  void StartAgain(const std::string& id, std::int64_t first_heartbeat_ms);
  /*! @brief A run fails by its own fault. */
  void Fail(const std::string& task);
  /*! @brief Carries out the calls that were kept for a minion, or `store`. */
  void CarryOutKept(const std::string& id);

  /*! @brief A client's call at a process; `timeout_ms` after which it leaves.
   * The status, or 0 if there was no answer. */
  int Call(const std::string& method,
           std::size_t process,
           const std::string& job,
           const std::string& body = "",
           int timeout_ms = 3000,
           std::string* answer = nullptr);
  std::string StateOf(std::size_t process, const std::string& job);
  void SetLength(const std::string& job, std::int64_t ms);

  /*! @brief Runs a function on the stage's thread. */
  template <typename F>
  auto With(F function) {
    return this->loop.Call([this, &function] {
      this->Advance();
      return function();
    });
  }
  bool WaitFor(int ms, const std::function<bool()>& condition);
  std::int64_t NowMs() const;
  void Note(const std::string& line);
  [[nodiscard]] std::string Log(std::size_t number) const;

  std::map<std::string, Minion> minions;  // on the stage's thread
  // What clients and minions have seen of runs, in order.
  struct Seen {
    std::int64_t at_ms = 0;
    std::string what;  // start, or how it ended
    std::string task;
    std::int64_t run = 0;
    std::string minion;
    std::int64_t number = 0;  // of the end
    std::int64_t life = 0;    // when the minion was born
  };
  std::vector<Seen> seen;
  // Ends that LastSeen has reached before a lapse of the minion's lease:
  // minion, life, number.
  std::set<std::tuple<std::string, std::int64_t, std::int64_t>> noted;

 private:
  struct Process {
    pid_t pid = 0;
    int starts = 0;
    std::string callers;
  };
  void Advance();
  void Tick();
  void End(Minion& minion, const std::string& task, const std::string& how);
  void Register(const Minion& minion);
  void HandleStore(std::size_t process,
                   const HttpRequest& request,
                   const HttpReply& reply);
  void HandleMinion(const std::string& id,
                    const HttpRequest& request,
                    const HttpReply& reply);
  void Execute(const std::string& id,
               const std::string& call,
               const HttpRequest& request,
               const HttpReply& reply);
  void AnswerHold(const Minion& minion, const HttpReply& reply) const;
  [[nodiscard]] std::int64_t ClockOf(const Minion& minion) const;
  [[nodiscard]] std::filesystem::path LogPath(std::size_t number,
                                              int start) const;

  struct Waiting {
    std::string minion;
    std::int64_t born_ms = 0;
    std::int64_t last_seen = 0;
    std::int64_t until_ms = 0;
    HttpReply reply;
  };

  std::chrono::steady_clock::time_point begun =
      std::chrono::steady_clock::now();
  std::ofstream record;
  std::mutex record_mutex;
  std::filesystem::path files;
  kch::fake::KeyStore store;
  std::map<std::string, std::int64_t> lengths;  // of a job's tasks
  std::vector<Waiting> waiting;
  std::vector<HttpReply> silent;
  std::multimap<std::string, std::function<void()>> kept;
  kch::fake::EventLoop loop;
  asio::steady_timer timer{loop.context()};
  std::vector<std::unique_ptr<kch::net::HttpServer>> shared;  // by process
  std::vector<std::unique_ptr<kch::net::HttpServer>> servers;
  std::vector<std::unique_ptr<Proxy>> proxies;  // before the servers
  std::vector<Process> processes;
  std::unique_ptr<kch::net::HttpClient> client;
};

/*! @brief A job of equal tasks; a label that their minions need, or none. */
std::string JobBody(int count, std::int64_t estimate_ms, bool lasting,
                    const std::string& label = "");

/*! @brief Starts that break TWICE, with the reason. */
std::vector<std::string> TwiceIn(const Stage& stage,
                                 const std::vector<Stage::Seen>& seen);

}  // namespace review

#endif  // REVIEW_STANDIN_3_STAGE_H_
