#ifndef FAKE_EVENT_LOOP_H_
#define FAKE_EVENT_LOOP_H_

#include <asio.hpp>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace kch::fake {

/*! @brief One thread that owns all state and timers of a fake. */
class EventLoop {
 public:
  EventLoop()
      : guard(asio::make_work_guard(this->io)),
        thread([this] { this->io.run(); }) {}
  ~EventLoop() { this->Stop(); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /*! @brief Context for timers and sockets that belong to the loop. */
  [[nodiscard]] asio::io_context& context() { return this->io; }

  /*! @brief Runs the function later on the loop's thread; drops it once the
   * loop has stopped. */
  void Post(std::function<void()> function) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopped) {
        return;
      }
      this->posted.push_back(std::move(function));
    }
    asio::post(this->io, [this] { this->RunPosted(); });
  }

  /*! @brief Runs the function on the loop's thread and waits for its result. */
  template <typename F>
  auto Call(F function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(this->io, [&task] { task(); });
    return result.get();
  }

  /*! @brief Ends the thread and drops posted functions. A server whose
   * requests they hold must outlive this call. */
  void Stop() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopped = true;
    }
    this->io.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
    this->posted.clear();
  }

 private:
  void RunPosted() {
    std::deque<std::function<void()>> ready;
    {
      const std::lock_guard lock(this->mutex);
      ready.swap(this->posted);
    }
    for (const auto& function : ready) {
      function();
    }
  }

  std::mutex mutex;
  bool stopped = false;
  std::deque<std::function<void()>> posted;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  std::thread thread;
};

}  // namespace kch::fake

#endif  // FAKE_EVENT_LOOP_H_
