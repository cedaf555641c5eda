#ifndef REVIEW_STANDIN_CASES_H_
#define REVIEW_STANDIN_CASES_H_

#include "fleet.h"
#include "world.h"

namespace review {

// One function for each case; `trouble` is false for the run without the
// disruption. Rules that a start breaks are judged by the world.

/*! @brief A minion crashes and starts again under its id. */
void RestartUnderId(bool trouble);
/*! @brief The process in charge gets SIGTERM while a cancelled job's tasks are
 * being stopped. */
void StopDuringCancel(bool trouble);
/*! @brief A client hands in a job with many due times. */
void ManyOccurrences(bool trouble);
/*! @brief A process starts again while one of its connections to the store is
 * silent. */
void StartWithoutConfig(bool trouble);
/*! @brief The store begins to turn a machine away while that hands a job in. */
void RejectedDuringSubmit(bool trouble);
/*! @brief The store is down and leases run out; a third of the writes after
 * its return get no answer and are carried out late. */
void OutageWithLapse(bool trouble);
/*! @brief Another tenant GETs PREFIX + ID + /cancel. */
void StrayGet(bool trouble);
/*! @brief An order for upkeep is carried out late, after its sender was
 * killed. */
void LateUpkeep(bool trouble);

/*! @brief The process in charge is killed while tasks of a timed job are at
 * work. */
void KillDuringTimedJob(bool trouble);
/*! @brief The same with SIGTERM. */
void StopDuringTimedJob(bool trouble);

/*! @brief The world of the case that runs; set by main. */
World& TheWorld();

}  // namespace review

#endif  // REVIEW_STANDIN_CASES_H_
