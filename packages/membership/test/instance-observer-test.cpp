#include <masticlever/membership/instance-observer.h>

#include <catch2/catch.hpp>

using namespace masticlever::membership;

namespace
{

instance_notice makeNotice(const std::string &name, bool leaving)
{
    instance_notice notice;
    notice.name = name;
    notice.incarnation = name + "-1";
    notice.leaving = leaving;
    return notice;
}

using change_list = std::vector<observed_change>;

} // namespace

TEST_CASE("Each change of the fleet is reported once")
{
    instance_observer observer;
    const instance_notice both[] = {makeNotice("a", false), makeNotice("b", false)};
    CHECK(observer.update(both).size() == 2);
    CHECK(observer.update(both).empty());

    SECTION("an instance that disappears is reported as lost")
    {
        const instance_notice remaining[] = {both[0]};
        CHECK(observer.update(remaining) == change_list{{instance_change::lost, "b", "b-1"}});
        CHECK(observer.update(both) == change_list{{instance_change::live, "b", "b-1"}});
    }

    SECTION("an instance that left is not reported as lost")
    {
        const instance_notice leaving[] = {both[0], makeNotice("b", true)};
        CHECK(observer.update(leaving) == change_list{{instance_change::leaving, "b", "b-1"}});
        const instance_notice remaining[] = {both[0]};
        CHECK(observer.update(remaining).empty());
    }
}
