#ifndef TIMELINE_TIMELINE_H_
#define TIMELINE_TIMELINE_H_

#include "timeline/event.h"
#include "timeline/merge.h"

#endif  // TIMELINE_TIMELINE_H_
