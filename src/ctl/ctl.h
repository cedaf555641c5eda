#ifndef CTL_CTL_H_
#define CTL_CTL_H_

#include "ctl/attempts.h"
#include "ctl/command.h"
#include "ctl/edit.h"
#include "ctl/exit_code.h"
#include "ctl/render.h"

#endif  // CTL_CTL_H_
