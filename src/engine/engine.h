#ifndef ENGINE_ENGINE_H_
#define ENGINE_ENGINE_H_

#include "engine/attempt.h"
#include "engine/entry.h"
#include "engine/event.h"
#include "engine/job.h"
#include "engine/message.h"

#endif  // ENGINE_ENGINE_H_
