#ifndef REVIEW_STANDIN_2_PROCESSES_H_
#define REVIEW_STANDIN_2_PROCESSES_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "review/standin-2/platform.h"

namespace review {

/*! @brief kch-fleet processes, started with the command line of
 * deploy/system.toml. */
class Processes {
 public:
  Processes(std::size_t count,
            const std::string& program,
            const std::string& folder,
            const std::string& platform,
            const Options& options,
            Record& record);
  ~Processes();

  void Start(std::size_t index);
  void Kill(std::size_t index);
  void Signal(std::size_t index, int signal);
  /*! @brief host:port for callers. */
  [[nodiscard]] std::string Front(std::size_t index) const;
  /*! @brief Waits until all of them are ready for callers. */
  bool WaitUntilReady(int seconds);
  /*! @brief The process that owns the fleet, by the store's record. */
  [[nodiscard]] std::size_t Owner(Platform& world) const;
  [[nodiscard]] std::size_t size() const { return this->rows.size(); }

 private:
  struct Row {
    std::string name;
    int front = 0;
    int ready = 0;
    int peers = 0;
    int bus = 0;
    pid_t pid = 0;
  };
  std::string program;
  std::string folder;
  std::string platform;
  Options options;
  Record& record;
  std::vector<Row> rows;
};

/*! @brief An HTTP call of a client; `status` 0: no answer. */
struct Answer {
  int status = 0;
  std::string body;
};
Answer CallFront(const std::string& address,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 Record& record);

/*! @brief The first configuration: one route `/q/` to the pool `p`. */
void PublishConfig(Platform& platform, const Options& options, int version);

}  // namespace review

#endif  // REVIEW_STANDIN_2_PROCESSES_H_
