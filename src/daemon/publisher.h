#pragma once

#include "caller/dependencies.h"

namespace Kumquatpick {

class LogAppender;

// Appends an operator's text to the log and returns the outcome. A text with faults is not appended; of concurrent
// publishes, the first in the log wins. Blocks up to the deadline; safe to repeat with the same id.
PublishOutcome publishText(LogAppender&, Offset currentVersion, const PublishRequest&, MonotonicTime deadline);

} // namespace Kumquatpick
