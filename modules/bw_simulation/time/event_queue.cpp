#include "bw_simulation/time/event_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

using namespace bw;

bool event_queue::later(const event &Left, const event &Right) {
  return std::tie(Left.When, Left.Order) > std::tie(Right.When, Right.Order);
}

void event_queue::at(time_point When, action Action) {
  Heap.push_back({std::max(When, Now), NextOrder++, std::move(Action)});
  std::push_heap(Heap.begin(), Heap.end(), later);
}

bool event_queue::runNext() {
  if (Heap.empty())
    return false;
  std::pop_heap(Heap.begin(), Heap.end(), later);
  const event Next = std::move(Heap.back());
  Heap.pop_back();
  Now = Next.When;
  Next.Action();
  return true;
}
