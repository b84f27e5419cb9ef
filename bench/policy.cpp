// Measures the cost per decision of the router, the fair queue and the allowance allocator at 1, 4 and 16 times the
// design size. Prints one line per case, with the ratio to the cost at 1x.
#include "limits/allowanceallocator.h"
#include "limits/fairqueue.h"
#include "routing/router.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace Basilbend;

namespace
{

constexpr int Decisions = 20000;

double microseconds(const std::function<void(int)> &decision)
{
    double best = 1e18;
    for (int repeat = 0; repeat < 5; ++repeat) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < Decisions; ++i) {
            decision(i);
        }
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
        best = std::min(best, spent.count() / Decisions);
    }
    return best;
}

/// Cost of choosing an endpoint. At 1x an entry routes to 83 endpoints.
double router(int scale)
{
    Router router("zone-0", RouterSettings{}, Random(1));
    for (int i = 0; i < 83 * scale; ++i) {
        LoadReport report;
        report.endpoint = "endpoint-" + std::to_string(i);
        report.zone = "zone-" + std::to_string(i % 4);
        report.policy = "lm";
        report.version = 1;
        report.capacity = 32;
        report.running = static_cast<std::size_t>(i % 30);
        router.table().apply(report, Timestamp(0));
    }
    router.tick(Timestamp(20000));
    return microseconds([&](int i) {
        RouteRequest request;
        request.policy = "lm";
        request.prefix = i % 2 == 0 ? static_cast<std::uint64_t>(i) : 0;
        (void)router.choose(request, Timestamp(1000));
    });
}

/// Cost of queueing a request. At 1x ten workspaces send requests to one engine. A decision is one push, start, charge and finish.
double fairQueue(int scale)
{
    FairQueue queue(FairQueueSettings{});
    std::uint64_t sequence = 0;
    const auto push = [&](Timestamp now) {
        const auto workspace = "workspace-" + std::to_string(sequence % static_cast<std::uint64_t>(10 * scale));
        (void)queue.push({AttemptId{"entry", 1, ++sequence}, workspace, RequestClass::Rollout, Timestamp(1 << 30), 100, 100}, now);
    };
    for (int i = 0; i < 20 * scale && i < 500; ++i) {
        push(Timestamp(0));
    }
    return microseconds([&](int i) {
        const Timestamp now(i);
        push(now);
        if (const auto started = queue.start(now)) {
            queue.charge(started->id, 100, now);
            queue.finish(started->id, now);
        }
    });
}

/// Cost of granting an allowance. At 1x 720 entries request their share of one workspace's allowance.
double allocator(int scale)
{
    AllowanceAllocator allocator(1, Timestamp(0), false);
    std::vector<std::string> entries;
    entries.reserve(static_cast<std::size_t>(720) * static_cast<std::size_t>(scale));
    for (int i = 0; i < 720 * scale; ++i) {
        entries.push_back("entry-" + std::to_string(i));
    }
    allocator.setEntries(entries);
    std::uint64_t holding = 0;
    return microseconds([&](int i) {
               if (i % 20 == 0) {
                   AllowanceDemand demand{entries[static_cast<std::size_t>(i / 20) % entries.size()], static_cast<double>(i % 977), holding, {1e6, 1}};
                   const auto grant = allocator.grant(demand, Timestamp(i));
                   holding = grant ? grant->number : holding;
               }
           })
        * 20;
}

void print(const char *name, double (*measure)(int))
{
    const auto baseCost = measure(1);
    for (const int scale : {1, 4, 16}) {
        const auto cost = scale == 1 ? baseCost : measure(scale);
        std::printf("%-20s %2dx %9.2f us per decision, %5.1f times the cost at 1x\n", name, scale, cost, cost / baseCost);
    }
}

}

int main()
{
    print("Router", router);
    print("FairQueue", fairQueue);
    print("AllowanceAllocator", allocator);
    return 0;
}
