#ifndef JOBS_JOBS_H_
#define JOBS_JOBS_H_

#include "jobs/effect.h"
#include "jobs/job.h"
#include "jobs/limits.h"
#include "jobs/model.h"
#include "jobs/pace.h"
#include "jobs/placement.h"
#include "jobs/rank.h"
#include "jobs/record.h"
#include "jobs/scheduler.h"
#include "jobs/vm.h"
#include "jobs/vm_failures.h"

#endif  // JOBS_JOBS_H_
