#ifndef TEST_PROCESS_FLEET_H_
#define TEST_PROCESS_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_client.h"

namespace kch::test {

/*! @brief Path of a binary in the build tree. */
[[nodiscard]] std::string BinaryPath(const std::string& name);

/*! @brief Starts a program whose output goes to a file; throws on failure. */
[[nodiscard]] pid_t Spawn(const std::vector<std::string>& arguments,
                          const std::string& output);

/*! @brief The text of a file; empty if there is none. */
[[nodiscard]] std::string ReadFile(const std::filesystem::path& path);

/*! @brief Creates a folder for the files of a test; throws on failure. */
[[nodiscard]] std::filesystem::path MakeTestFolder();

/*! @brief Pause between two looks at a condition. */
inline constexpr std::chrono::milliseconds kPollInterval{10};
/*! @brief Longest time of a test. Below the bound of CTest, which kills this
 * process without its destructors. */
inline constexpr std::chrono::seconds kTestBound{100};

/*! @brief Size and profile of a fleet. */
struct FleetOptions {
  std::size_t entries = 3;
  std::size_t targets = 6;
  std::size_t slots = 8;
  int task_lease_ms = 30'000;
  int longest_lease_ms = 30'000;
  int team_limit = 100;
};

/*! @brief A request of a caller; the body is a fake worker's order. */
struct Request {
  std::size_t entry = 0;
  std::string team = "blue";
  std::string id;
  int run_ms = 0;
  bool repeatable = true;
  int deadline_ms = 0;  // 0: the profile's
  std::string key;      // empty: the team's
};

/*! @brief One event of a worker's log. */
struct Event {
  std::int64_t wall_us = 0;
  bool start = false;
  std::size_t target = 0;
  std::string team;
  std::string echo;
  std::string outcome;
};

/*! @brief Microseconds on the clock of the workers' logs. */
[[nodiscard]] std::int64_t WallUs();

/*! @brief A platform, a worker process and entries as real processes on
 * loopback. Pool `p1` holds all targets, target i is in zone `z<i % 3 + 1>`;
 * teams `blue` and `red` use profile `work`. Ends everything it started. */
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /*! @brief Polls until the condition holds; throws after the bound. */
  void WaitFor(const std::string& what, const std::function<bool()>& condition);

  /*! @brief Sends a call, with the host given as host:port. */
  net::HttpResult Call(
      const std::string& method,
      const std::string& host,
      const std::string& path,
      const std::string& body = "",
      std::vector<std::pair<std::string, std::string>> headers = {});
  /*! @brief Sends a request to an entry; `done` runs on the client's thread. */
  void Send(const Request& request, net::HttpDone done);
  /*! @brief Sends a request to an entry and waits for its answer. */
  net::HttpResult Submit(const Request& request);

  /*! @brief Proposes a change as an operator. */
  net::HttpResult Change(std::size_t entry,
                         const nlohmann::json& change,
                         const std::string& id = "",
                         const nlohmann::json& expected_revision = nullptr);
  /*! @brief Makes a change that must be accepted; returns its revision. */
  std::uint64_t Accept(std::size_t entry, const nlohmann::json& change);
  /*! @brief An operators' report (`config` or `status`); null on failure. */
  nlohmann::json Report(std::size_t entry, const std::string& name);
  /*! @brief The number of the entry that schedules the pool. */
  std::size_t Scheduler();

  /*! @brief Takes an entry's VM off the platform's list, which proves that the
   * entry has stopped. */
  void RemoveEntryVm(std::size_t entry);
  /*! @brief Sets faults of a target, whatever its present faults. */
  void FaultTarget(std::size_t target, const nlohmann::json& faults);
  /*! @brief Sets faults of the platform and its store. */
  void FaultPlatform(const nlohmann::json& faults);
  /*! @brief The logs of all targets in order of time. */
  std::vector<Event> Events();
  /*! @brief The log of one target as it is. */
  std::string Log(std::size_t target);
  /*! @brief The value of a record in the store; empty if absent. */
  std::string Record(const std::string& key);

  /*! @brief Sends a signal to an entry. */
  void Signal(std::size_t entry, int signal);
  /*! @brief Waits until an entry has ended; returns the status of waitpid. */
  int WaitForExit(std::size_t entry);

  /*! @brief host:port of an entry. */
  [[nodiscard]] const std::string& entry_address(std::size_t entry) const {
    return this->entries[entry].address;
  }
  /*! @brief Host and path of a target that reach it whatever its faults. */
  [[nodiscard]] std::string control_address(std::size_t target) const;
  [[nodiscard]] const FleetOptions& options() const { return this->wanted; }
  /*! @brief Folder for files of this test. */
  [[nodiscard]] const std::filesystem::path& folder() const {
    return this->files;
  }

 private:
  struct Process {
    std::string name;
    std::string address;
    pid_t pid = 0;  // 0: ended
  };

  Process Start(const std::string& binary,
                const std::string& name,
                std::vector<std::string> flags);
  nlohmann::json Ready(const Process& process);
  void StopAll();
  void StartAll();
  void Configure();
  void WaitUntilServing();
  void PrintLogs() const;

  FleetOptions wanted;
  std::chrono::steady_clock::time_point deadline;
  std::filesystem::path files;
  std::unique_ptr<net::HttpClient> client;
  Process platform;
  Process worker;
  std::vector<Process> entries;
  std::vector<std::string> target_addresses;
  std::uint64_t changes = 0;
};

/*! @brief Profile `work` of a fleet as a change. */
[[nodiscard]] nlohmann::json WorkProfile(const FleetOptions& options);
/*! @brief A team as a change. */
[[nodiscard]] nlohmann::json PutTeam(const std::string& id,
                                     int weight,
                                     int limit);
/*! @brief A zone as a change. */
[[nodiscard]] nlohmann::json SetZone(const std::string& id, bool in_service);

}  // namespace kch::test

#endif  // TEST_PROCESS_FLEET_H_
