#pragma once

#include "caller/dependencies.h"

namespace Kumquatpick {

class LogAppender;

// Brings an operator's text to the log and says what became of it: a text with faults changes nothing, of racing
// ones the first in the log wins. Blocks up to the deadline; safe to repeat with the same id.
PublishOutcome publishText(LogAppender&, Offset currentVersion, const PublishRequest&, MonotonicTime deadline);

} // namespace Kumquatpick
