#include "log/folder.h"

#include "coordination/randomlog.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    // A random log with valid snapshots at random positions, and the state after each record.
    struct SnapshotLog {
        SnapshotLog()
        {
            for (LoggedRecord record : Testing::anyLog()) {
                if (*rc::gen::inRange(0, 8) == 0)
                    appendSnapshot();
                record.offset = state.offset() + 1;
                append(std::move(record.record));
            }
        }

        void append(Record record)
        {
            Offset offset = state.offset() + 1;
            raw.push_back({ offset, WallTime(Milliseconds(offset)), encode(record) });
            state.apply({ offset, std::move(record) });
            states.push_back(state.snapshot());
        }

        void appendSnapshot()
        {
            auto series = std::to_string(state.offset());
            for (SnapshotProposal& part : snapshotParts(state, series, 2000))
                append({ "snapshot " + series + "/" + std::to_string(part.part), std::move(part) });
        }

        LogPage page(Offset earliest, Offset from, size_t limit) const
        {
            LogPage page { earliest, raw.size() + 1, {} };
            for (Offset offset = std::max(earliest, from); offset <= raw.size() && page.records.size() < limit;
                 ++offset)
                page.records.push_back(raw[offset - 1]);
            return page;
        }

        State state;
        std::vector<RawRecord> raw;
        std::vector<std::string> states;
    };

    // Random numbers of records expire at random times during reading.
    RC_GTEST_PROP(LogFolder, AWholeStateIsTheOneAfterItsOffsetWhateverExpired, ())
    {
        SnapshotLog log;
        LogFolder folder;
        Offset earliest = *rc::gen::inRange<Offset>(1, log.raw.size() + 1);
        while (folder.next() <= log.raw.size()) {
            auto page = log.page(earliest, folder.next(), *rc::gen::inRange<size_t>(1, 10));
            auto step = settle([&] { return folder.add(page); });
            RC_ASSERT(std::holds_alternative<FoldStep>(step));
            if (folder.whole() && folder.state().offset() > 0)
                RC_ASSERT(folder.state().snapshot() == log.states[folder.state().offset() - 1]);
            bool expire = *rc::gen::inRange(0, 6) == 0;
            earliest += expire ? *rc::gen::inRange<Offset>(0, log.raw.size() + 1 - earliest) : 0;
        }
        if (!folder.whole())
            RC_ASSERT(earliest > 1);
    }

    // A snapshot that has not expired and covers all expired records is always found.
    RC_GTEST_PROP(LogFolder, StartsWhereverACoveringSnapshotIsLeft, ())
    {
        SnapshotLog log;
        log.appendSnapshot();
        log.append({ "last", Testing::anyBody() });
        Offset covers = log.state.snapshotCovers();
        LogFolder folder;
        Offset earliest = *rc::gen::inRange<Offset>(1, covers + 2);
        while (folder.next() <= log.raw.size()) {
            auto page = log.page(earliest, folder.next(), 7);
            RC_ASSERT(std::holds_alternative<FoldStep>(settle([&] { return folder.add(page); })));
        }
        RC_ASSERT(folder.whole());
        RC_ASSERT(folder.state().snapshot() == log.states.back());
        RC_ASSERT(!folder.uncoveredExpired());
        RC_ASSERT(folder.oldestNeeded().has_value());
        RC_ASSERT(*folder.oldestNeeded() <= WallTime(Milliseconds(covers + 1)));
    }

}

} // namespace Kumquatpick
