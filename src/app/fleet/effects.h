#ifndef APP_FLEET_EFFECTS_H_
#define APP_FLEET_EFFECTS_H_

#include "app/fleet/driver.h"

namespace kch::app {

/*! @brief Performs what ownership decided. */
struct LeadEffectVisitor {
  Driver& driver;

  void operator()(const lead::CreateLease& effect) const;
  void operator()(const lead::ClaimRecord& effect) const;
  void operator()(const lead::ReadRecord& effect) const;
  void operator()(const lead::RenewLease& effect) const;
  void operator()(const lead::RequestFollowerLeases& effect) const;
  void operator()(const lead::ReadLastOwner& effect) const;
  void operator()(const lead::StoreLastOwner& effect) const;
  void operator()(const lead::EndLease& effect) const;
  void operator()(const lead::StoreEnd& effect) const;
  void operator()(const lead::OwnershipGained& effect) const;
  void operator()(const lead::OwnershipLost& effect) const;
};

/*! @brief Performs what the scheduler with a fence decided. */
struct FleetEffectVisitor {
  Driver& driver;
  std::uint64_t fence = 0;

  void operator()(const jobs::StartRun& effect) const;
  void operator()(const jobs::StopRun& effect) const;
  void operator()(const jobs::PaceRun& effect) const;
  void operator()(const jobs::PollVm& effect) const;
  void operator()(const jobs::RequestAdvice& effect) const;
  void operator()(const jobs::WriteRecords& effect) const;
  void operator()(const jobs::PersistVm& effect) const;
  void operator()(const jobs::EraseVmRecord& effect) const;
  void operator()(const jobs::PersistEndedVm& effect) const;
  void operator()(const jobs::EraseEndedVmRecord& effect) const;
  void operator()(const jobs::ReadEndedJob& effect) const;
  void operator()(const jobs::Superseded& effect) const;
  void operator()(const jobs::LogEvent& effect) const;

  /*! @brief Ends the ownership, since a later owner has been seen. */
  void GiveUp() const;
};

/*! @brief Performs what the planner of upkeep decided. */
struct UpkeepEffectVisitor {
  Driver& driver;
  std::uint64_t fence;

  void operator()(const upkeep::ReadMachines& effect) const;
  void operator()(const upkeep::SetCordon& effect) const;
  void operator()(const upkeep::Evict& effect) const;
  void operator()(const upkeep::OrderUpkeep& effect) const;
  void operator()(const upkeep::OrderMove& effect) const;
  void operator()(const upkeep::StoreOrderedMachines& effect) const;
  void operator()(const upkeep::VmTerminated& effect) const;
  void operator()(const upkeep::SaveWave& effect) const;
  void operator()(const upkeep::LogEvent& effect) const;
  void operator()(const upkeep::Superseded& effect) const;
};

/*! @brief Performs what the roster of relays decided. */
struct RelayEffectVisitor {
  Driver& driver;
  std::uint64_t fence;

  void operator()(const relay::Connect& effect) const;
  void operator()(const relay::Disconnect& effect) const;
  void operator()(relay::Forward& effect) const;
  void operator()(relay::DirectCall& effect) const;
  void operator()(relay::DeliverReply& effect) const;
  void operator()(const relay::DeliverLateReport& effect) const;
  void operator()(const relay::Superseded& effect) const;
  void operator()(const relay::LogEvent& effect) const;
};

}  // namespace kch::app

#endif  // APP_FLEET_EFFECTS_H_
