#ifndef TEST_PROCESS_PLATFORM_FLEET_H_
#define TEST_PROCESS_PLATFORM_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fake/fleet/fleet_platform.h"
#include "net/http_client.h"

namespace kch::test {

/*! @brief Instances of kch-fleet as real processes on loopback, over a stand-in
 * for the users' platform. Ends everything it started. */
class PlatformFleet {
 public:
  /*! @brief Address at which an instance reaches the store, given the
   * stand-in's own. */
  using StoreAddress = std::function<std::string(const std::string& address)>;

  explicit PlatformFleet(std::size_t instances = 3,
                         const fake::FleetPlatform::Options& options = {},
                         StoreAddress store_address = {},
                         std::vector<std::string> flags = {});
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /*! @brief Polls until the condition holds; throws after the bound. */
  void WaitFor(const std::string& what, const std::function<bool()>& condition);

  /*! @brief Hands a job in at one instance; the code of its answer, or 0. */
  int Submit(std::size_t instance, const jobs::JobSpec& job);
  /*! @brief As Submit, with the whole answer. */
  net::HttpResult Offer(std::size_t instance, const jobs::JobSpec& job);
  /*! @brief Hands a job in, at other instances too, until one accepts it. */
  void Accept(const jobs::JobSpec& job);
  /*! @brief A job's state as some instance tells it; empty: none told. */
  std::string StateOf(const jobs::JobSpec& job);
  /*! @brief Cancels a job at one instance; the code of its answer, or 0. */
  int CancelAt(std::size_t instance, const jobs::JobSpec& job);
  /*! @brief Cancels a job at any instance. */
  void Cancel(const jobs::JobSpec& job);
  /*! @brief Waits until jobs are shown as completed. */
  void WaitForCompleted(const std::vector<jobs::JobSpec>& jobs);
  [[nodiscard]] bool Runs(const std::string& task) const;
  [[nodiscard]] std::int64_t starts() const;

  /*! @brief The number of the instance that owns the fleet. */
  [[nodiscard]] std::optional<std::size_t> Owner() const;
  /*! @brief Waits for an owner. */
  std::size_t WaitForOwner();
  void Signal(std::size_t instance, int signal);
  /*! @brief Waits until an instance has ended; the status of waitpid. */
  int WaitForExit(std::size_t instance);
  /*! @brief Starts an instance that has ended. */
  void Restart(std::size_t instance);
  /*! @brief A counter that an instance serves, over all labels; 0: none. */
  [[nodiscard]] double Counter(std::size_t instance, const std::string& name);
  /*! @brief What an instance has logged since its last start. */
  [[nodiscard]] std::string Log(std::size_t instance) const;

  /*! @brief Breaches that the stand-in saw, as one text. If there are any, the
   * logs are kept in the folder that KCH_KEEP_LOGS names. */
  [[nodiscard]] std::string Breaches() const;

  std::unique_ptr<fake::FleetPlatform> platform;
  std::function<void()> while_waiting;  // called again and again by waits

 private:
  struct Process {
    std::string name;
    std::size_t number = 0;
    std::string callers;  // host:port
    std::string readiness;
    std::string peers;
    pid_t pid = 0;  // 0: ended
    int starts = 0;
  };

  void Start(Process& process);
  void ReadPorts(Process& process);
  void StopAll();
  void KeepLogs() const;
  net::HttpResult Call(const std::string& method,
                       std::size_t instance,
                       const jobs::JobSpec& job,
                       const std::string& body = "");
  [[nodiscard]] std::filesystem::path LogOf(const Process& process) const;

  StoreAddress store_address;
  std::vector<std::string> flags;  // after those of every instance
  std::chrono::steady_clock::time_point deadline;
  std::filesystem::path files;
  std::unique_ptr<net::HttpClient> client;
  std::vector<Process> instances;
};

/*! @brief A job of one step of `count` tasks of 1 core that run `ms` each. */
[[nodiscard]] jobs::JobSpec PlainJob(const std::string& id,
                                     std::int32_t count,
                                     std::int64_t ms,
                                     const std::string& queue = "q");

}  // namespace kch::test

#endif  // TEST_PROCESS_PLATFORM_FLEET_H_
