#pragma once

#include "sardinespoke/backend_commands.h"

namespace sardinespoke {

/// Ignores all commands and never answers.
class NoCommands final : public BackendCommandsI
{
public:
  void Start(const StartCommand&, OnResult) override {}
  void Stop(const StopCommand&, OnResult) override {}
  void Throttle(const ThrottleCommand&, OnResult) override {}
  void Poll(const PollCommand&, OnPollResult) override {}
  void ChangeHost(const HostCommand&, OnResult) override {}
  void ListHosts(OnHosts) override {}
  void Advise(const AdviceQuery&, OnAdvice) override {}
};

}
