#ifndef SHARE_SHARE_H_
#define SHARE_SHARE_H_

#include "share/fair_queue.h"
#include "share/queued_task.h"

#endif  // SHARE_SHARE_H_
