#ifndef APP_KCHCTL_RUNNER_H_
#define APP_KCHCTL_RUNNER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/ctl.h"
#include "net/net.h"

namespace kch::app {

/*! @brief Checked settings of kchctl. */
struct CtlSettings {
  std::vector<std::string> entries;
  std::vector<std::string> maintainers;
  std::string operator_key;
  std::string change_id;  // empty: a random one per run
  bool json = false;
  bool wait = false;
  int timeout_ms = 0;
};

/*! @brief Performs one command and prints its result. */
class Runner {
 public:
  Runner(net::HttpClient& client, CtlSettings settings);

  /*! @brief Performs the command. */
  [[nodiscard]] ctl::ExitCode Run(const ctl::Command& command);

 private:
  using Servers = std::vector<std::string>;

  [[nodiscard]] ctl::ExitCode Do(const ctl::ShowHelp& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::ShowList& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::ShowProfile& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::Explain& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::GrantKey& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::EditObject& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::SetZoneService& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::RetireInstance& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::SendChange& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::SendOrder& command);
  [[nodiscard]] ctl::ExitCode Do(const ctl::AddVm& command);

  [[nodiscard]] int LeftMs() const;
  [[nodiscard]] net::HttpCall MakeCall(const std::string& server,
                                       const std::string& path,
                                       const std::string* body,
                                       int limit_ms) const;
  // Reads the same path from all servers at once.
  [[nodiscard]] std::vector<ctl::Answer> CallEach(const Servers& servers,
                                                  const std::string& path,
                                                  int limit_ms);
  void PutLiveEntriesFirst();
  [[nodiscard]] ctl::Ending Call(const Servers& servers,
                                 const std::string& path,
                                 ctl::CallKind kind,
                                 const std::string* body);
  // Reads the configuration; prints the failure and keeps its exit code.
  [[nodiscard]] std::optional<config::State> ReadConfig();
  [[nodiscard]] std::optional<std::vector<nlohmann::json>> AskAll(
      const std::string& path);
  [[nodiscard]] std::optional<ctl::Reports> ReadReports();
  [[nodiscard]] ctl::ExitCode Propose(const Result<config::Proposal>& proposal,
                                      const std::string& key = "");
  [[nodiscard]] ctl::ExitCode WaitForForce(ctl::Force force);
  [[nodiscard]] ctl::ExitCode FinishOrder(const ctl::Ending& ending,
                                          const std::string& hint);
  [[nodiscard]] ctl::ExitCode Fail(const Servers& servers,
                                   const ctl::Ending& ending,
                                   const std::string& hint);
  [[nodiscard]] ctl::ExitCode Refuse(const Error& error);
  void Print(const std::string& text) const;

  net::HttpClient& client;
  CtlSettings settings;
  Time deadline;
  ctl::ExitCode failure = ctl::ExitCode::kRefused;  // of the latest read
  bool incomplete = false;  // an entry that was asked gave no answer
};

}  // namespace kch::app

#endif  // APP_KCHCTL_RUNNER_H_
