#include <iostream>

#include "fake/ready_file.h"
#include "fake/worker/worker.h"
#include "net/settings.h"

int main(int argc, char** argv) {
  using kch::net::Number;
  using kch::net::Text;
  const auto settings = kch::net::ParseOrExit(
      "kch-fake-worker",
      {Text("address", "127.0.0.1", "address of all ports"),
       Number("targets", 1, 1, 20'000, "number of targets"),
       Text("id-prefix", "vm-", "target ids are this text and 1, 2, ..."),
       Number("slots", 8, 1, 10'000, "tasks that a target runs at once"),
       Number("connections", 64, 1, 100'000, "open connections of a target"),
       Number("memory-mb", 131'072, 1, 100'000'000,
              "memory of a target; larger tasks are refused"),
       Number("result-ms", 120'000, 0, 86'400'000,
              "how long results of ended tasks are kept"),
       Number("reboot-ms", 1000, 0, 3'600'000, "how long a reboot takes"),
       Text("ready-file", "", "written once all ports listen")},
      argc, argv, KCH_VERSION);
  kch::fake::BlockStopSignals();
  const auto worker = kch::fake::Worker::Create(
      {.address = settings.text("address"),
       .id_prefix = settings.text("id-prefix"),
       .targets = static_cast<std::size_t>(settings.number("targets")),
       .connections = static_cast<std::size_t>(settings.number("connections")),
       .target = {
           .slots = static_cast<std::size_t>(settings.number("slots")),
           .memory_mb = settings.number("memory-mb"),
           .result_ms = static_cast<int>(settings.number("result-ms")),
           .reboot_ms = static_cast<int>(settings.number("reboot-ms"))}});
  if (!worker) {
    std::cerr << "kch-fake-worker: " << worker.error().Text() << "\n";
    return 1;
  }
  if (!kch::fake::Announce(settings.text("ready-file"),
                           (*worker)->ReadyText())) {
    std::cerr << "kch-fake-worker: cannot write " << settings.text("ready-file")
              << "; check its folder\n";
    return 1;
  }
  kch::fake::WaitForStopSignal();
  return 0;
}
