#include "waxwinghollow/platform.h"

const char *const wwh_host_state_names[WWH_HOST_STATE_COUNT] = {
	"live",
	"leaving",
	"gone",
};

const char *const wwh_host_kind_names[WWH_HOST_KIND_COUNT] = {
	"entry",
	"worker",
	"minion",
};

const char *const wwh_command_names[WWH_COMMAND_COUNT] = {
	"cordon",
	"drain",
	"reboot",
	"uncordon",
};

const char *const wwh_worker_state_names[WWH_WORKER_STATE_COUNT] = {
	"up", "cordoned", "draining", "drained", "rebooting", "down",
};

const char *const wwh_task_verb_names[WWH_TASK_VERB_COUNT] = {
	"start",
	"checkpoint",
	"throttle",
	"stop",
};

const char *const wwh_task_state_names[WWH_TASK_STATE_COUNT] = {
	"running", "checkpointed", "done", "failed", "stopped",
};
