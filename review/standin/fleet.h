#ifndef REVIEW_STANDIN_FLEET_H_
#define REVIEW_STANDIN_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "world.h"

namespace review {

/*! @brief The case could not be set up. */
struct SetupFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/*! @brief Processes of kch-fleet, started with the command of the deploy file,
 * and their callers. Ends what it started. */
class Fleet {
 public:
  Fleet(World& world, std::size_t count);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  [[nodiscard]] std::size_t size() const { return this->processes.size(); }
  /*! @brief Starts a process and waits until it listens. */
  void Start(std::size_t number);
  /*! @brief Starts a process and doesn't wait. */
  void Launch(std::size_t number);
  void WaitForListening(std::size_t number);
  void Signal(std::size_t number, int signal);
  /*! @brief Kills a process at once and collects it. */
  void Kill(std::size_t number);

  /*! @brief The process that the owner's record in the store names; size() if
   * there is none. */
  [[nodiscard]] std::size_t Owner();
  /*! @brief Waits for an owner that has taken over. */
  std::size_t WaitForOwner(int bound_ms = 15000);
  [[nodiscard]] std::string Log(std::size_t number) const;
  /*! @brief True if a process has logged an event since its last start. */
  [[nodiscard]] bool Logged(std::size_t number, const std::string& event) const;

  /*! @brief Hands a job in at a process; the code of the answer, 0 for none. */
  int Submit(std::size_t number, const Job& job, const Json& more = Json::object());
  int Cancel(std::size_t number, const Job& job);
  /*! @brief A job's state as the process tells it, or the code. */
  std::string State(std::size_t number, const Job& job, int timeout_ms = 3000);

  /*! @brief Waits until the condition holds; false after the bound. */
  static bool WaitFor(const std::function<bool()>& condition, int bound_ms);
  /*! @brief The same; throws SetupFailed after the bound. */
  static void Need(const std::string& what,
                   const std::function<bool()>& condition,
                   int bound_ms);
  static void Sleep(int ms);

  /*! @brief Adds the lines of the logs that hold one of the texts to the
   * record. */
  void RecordLogs(const std::vector<std::string>& texts);

 private:
  struct Process {
    std::string name;
    std::size_t caller = 0;
    pid_t pid = 0;
    int starts = 0;
    std::string callers;
    std::string readiness;
  };

  [[nodiscard]] std::string LogPath(const Process& process, int start) const;
  kch::net::HttpResult Call(const std::string& method,
                            std::size_t number,
                            const Job& job,
                            const std::string& body,
                            int timeout_ms);

  World& world;
  std::string folder;
  std::vector<Process> processes;
  std::unique_ptr<kch::net::HttpClient> client;
};

}  // namespace review

#endif  // REVIEW_STANDIN_FLEET_H_
