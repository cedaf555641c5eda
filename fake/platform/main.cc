#include <iostream>

#include "fake/platform/platform.h"
#include "fake/ready_file.h"
#include "net/settings.h"

int main(int argc, char** argv) {
  using kch::net::Number;
  using kch::net::Text;
  const auto settings = kch::net::ParseOrExit(
      "kch-fake-platform",
      {Text("address", "127.0.0.1", "address of the port"),
       Number("port", 0, 0, 65'535, "port; 0: the kernel picks one"),
       Number("list-lag-ms", 1000, 0, 3'600'000, "lag of the VM list"),
       Number("operation-ms", 1000, 0, 3'600'000,
              "how long a VM operation takes"),
       Number("seed", 1, 0, 1'000'000'000, "seed of random faults"),
       Text("ready-file", "", "written once the port listens")},
      argc, argv, KCH_VERSION);
  kch::fake::BlockStopSignals();
  const auto platform = kch::fake::Platform::Create(
      {.address = settings.text("address"),
       .port = static_cast<std::uint16_t>(settings.number("port")),
       .list_lag_ms = static_cast<int>(settings.number("list-lag-ms")),
       .operation_ms = static_cast<int>(settings.number("operation-ms")),
       .seed = static_cast<std::uint64_t>(settings.number("seed"))});
  if (!platform) {
    std::cerr << "kch-fake-platform: " << platform.error().Text() << "\n";
    return 1;
  }
  const std::string port = std::to_string((*platform)->port());
  if (!kch::fake::Announce(settings.text("ready-file"),
                           "{\"port\":" + port + ",\"address\":\"" +
                               settings.text("address") + ":" + port +
                               "\"}\n")) {
    std::cerr << "kch-fake-platform: cannot write "
              << settings.text("ready-file") << "; check its folder\n";
    return 1;
  }
  kch::fake::WaitForStopSignal();
  return 0;
}
