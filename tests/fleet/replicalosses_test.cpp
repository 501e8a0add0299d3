#include "fleet/lossyworld.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    // Measures the longest continuous time in which a model had too few replicas.
    class ShortageTimer {
    public:
        explicit ShortageTimer(MonotonicTime start)
            : m_lastSufficientAt(start)
        {
        }

        void observe(bool isShort, MonotonicTime now)
        {
            if (!isShort)
                m_lastSufficientAt = now;
            m_longest = std::max(m_longest, now - m_lastSufficientAt);
        }
        Milliseconds longest() const { return std::chrono::ceil<Milliseconds>(m_longest); }

    private:
        MonotonicTime m_lastSufficientAt;
        MonotonicTime::duration m_longest {};
    };

}

// Nine in ten calls need the small model, which has more replicas than they fill; the large one has about as many as it
// needs. Every three seconds two hosts fail, each in another replica, and two empty ones are added. The remaining hosts
// of a large replica must form a large one again, with surplus replicas of two, rather than more replicas of two: when
// they were split into those, ten replicas of eight became two within ten seconds and four for the rest of the day.
TEST(ReplicaLosses, LargeModelKeepsServingWhileSmallOneHasSurplus)
{
    constexpr double wantedLarge = 9;
    LossyWorld world({}, wantedLarge, 40);
    ASSERT_GE(world.serving("large"), 9u);
    ASSERT_GE(world.serving("small"), 40u);
    ShortageTimer shortage(world.now);
    for (int loss = 0; loss < 10; ++loss) {
        int domain = loss * 2 % 9;
        world.loseMembers(domain, 2);
        world.addEmptyHosts((domain + 4) % 9, 2);
        for (int step = 0; step < 30; ++step) {
            world.run(Milliseconds(100));
            shortage.observe(static_cast<double>(world.serving("large")) < 0.75 * wantedLarge, world.now);
        }
    }
    EXPECT_LE(shortage.longest(), Milliseconds(5000));
    EXPECT_GE(world.serving("large"), 7u) << "at the end";
    EXPECT_GE(world.serving("small"), 36u) << "small replicas are dissolved only where they are not needed";
}

} // namespace Kumquatpick
