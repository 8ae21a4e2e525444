#include "cell/node.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace apricotwing::cell {

namespace {

/// Interval between two reads of the layout until it exists.
constexpr Duration LayoutReadInterval{250};

} // namespace

void Node::LoopbackTransport::post(const std::string &Address, std::string Body,
                                   Duration Timeout,
                                   std::function<void(PeerResult)> Callback) {
  if (Address != Owner.Instance.Address) {
    Remote.post(Address, std::move(Body), Timeout, std::move(Callback));
    return;
  }
  Owner.PendingDeliveries.push_back([this, Body = std::move(Body),
                                     Callback = std::move(Callback)] {
    Owner.receive(Body, [this, Callback](std::optional<std::string> Reply) {
      Owner.PendingDeliveries.push_back([Callback, Reply = std::move(Reply)] {
        Callback({Reply, false});
      });
    });
  });
}

Node::Node(const Ports &Deps, const Timing &Times, InstanceInfo Instance,
           std::string Process)
    : Deps(Deps), Times(Times), Instance(std::move(Instance)),
      Process(std::move(Process)), Peers(*this, Deps.Peers),
      Policy({Deps.Store, Deps.Records, Deps.Time, Deps.Log},
             this->Instance.Name,
             {[this](const jobs::ClusterPolicy &NewPolicy) {
                applyPolicy(NewPolicy);
              },
              [this](const std::set<std::string> &Zones) {
                for (const auto &Agent : Agents)
                  Agent->setEvacuatedZones(Zones);
              }}),
      Router({Deps.Time, Deps.WallTime, Deps.Log, this->Times, Policy,
              [this](int Shard) -> LeaderChannel & {
                return Agents.at(std::size_t(Shard))->channel();
              }}) {
  addAgent(0);
}

void Node::addAgent(int Shard) {
  Agents.push_back(std::make_unique<ShardAgent>(
      ShardAgent::Ports{Deps.Store, Deps.Records, Deps.Workers, Deps.Advice,
                        Peers, Deps.Time, Deps.WallTime, Deps.Log, Times},
      Shard, Instance, Process,
      ShardAgent::Callbacks{
          [this](const ShardLayout &Decided) { NewLayout = Decided; },
          {[this](const SubmitAnswer &Result) { Router.onSubmitted(Result); },
           [this, Shard](const QueryAnswer &Result) {
             Router.onAnswered(Shard, Result);
           }}}));
  Agents.back()->setEvacuatedZones(Policy.evacuatedZones());
  Agents.back()->setPolicy(Router.policy());
}

void Node::applyPolicy(const jobs::ClusterPolicy &NewPolicy) {
  Router.setPolicy(NewPolicy);
  for (const auto &Agent : Agents)
    Agent->setPolicy(NewPolicy);
}

// The leader of shard 0 stores the layout when the cell starts for the first
// time.
void Node::readLayout() {
  if (Layout || ReadingLayout || Deps.Time.now() < NextLayoutRead)
    return;
  ReadingLayout = true;
  Deps.Store.read(LayoutTable, partitionOf(0), LayoutKey, 1,
                  Guard.wrap([this](const ReadResult &Result) {
                    ReadingLayout = false;
                    NextLayoutRead = Deps.Time.now() + LayoutReadInterval;
                    if (Result.Outcome != StoreOutcome::Done ||
                        Result.Rows.empty())
                      return;
                    NewLayout = decodeShardLayout(Result.Rows.front().Value);
                    if (!NewLayout)
                      Deps.Log.event("invalid stored row", LayoutKey,
                                     {{"table", LayoutTable}});
                  }));
}

void Node::setLayout(const ShardLayout &Decided) {
  if (Layout)
    return;
  Layout = Decided;
  Deps.Log.event(
      "layout in force", Instance.Name,
      {{"shards", std::to_string(Decided.shardCount())},
       {"home", std::to_string(Decided.homeOfInstance(Instance.Name))}});
  for (int Shard = 1; Shard < Decided.shardCount(); ++Shard)
    addAgent(Shard);
  for (const auto &Agent : Agents) {
    Agent->setLayout(Decided);
    if (Leaving)
      Agent->leave();
  }
  Router.setLayout(Decided);
}

void Node::serve(ClientCall Call, ClientResponder Respond) {
  Router.serve(std::move(Call), std::move(Respond));
}

void Node::receive(const std::string &Body, const Responder &Respond) {
  const auto Message = decodePeerMessage(Body);
  if (!Message) {
    Deps.Log.event("invalid peer message", "",
                   {{"bytes", std::to_string(Body.size())}});
    Respond(std::nullopt);
    return;
  }
  const int Shard =
      std::visit([](const auto &Content) { return Content.Shard; }, *Message);
  if (Shard < 0 || std::size_t(Shard) >= Agents.size()) {
    Respond(std::nullopt); // The layout is not known here yet.
    return;
  }
  ShardAgent &Agent = *Agents[std::size_t(Shard)];
  const auto *const Linked = std::get_if<Envelope>(&*Message);
  if (Linked)
    Policy.expect(Linked->PolicyVersion);
  if (const auto *Batch = std::get_if<CallBatch>(&*Message)) {
    Policy.expect(Batch->PolicyVersion);
    Agent.serveCalls(*Batch, [Respond](std::optional<CallBatchReply> Reply) {
      Respond(Reply ? std::optional(encode(*Reply)) : std::nullopt);
    });
    return;
  }
  if (std::holds_alternative<LeaderQuery>(*Message)) {
    Respond(encode(LeaderAnswer{Agent.knownLeader()}));
    return;
  }
  const auto Reply = Agent.receive(*Linked);
  Respond(Reply ? std::optional(encode(*Reply)) : std::nullopt);
}

ShardAgent::Surroundings Node::surroundingsOf(std::size_t Shard) const {
  ShardAgent::Surroundings Result;
  Result.LastStoreResponse = Policy.lastStoreResponse();
  Result.OperatorRowsKnownUntil = Policy.knownUntil();
  for (std::size_t Other = 0; Other < Agents.size(); ++Other) {
    Result.LargestCpuShare =
        std::max(Result.LargestCpuShare, Agents[Other]->largestCpuShare());
    const auto &Contacts = Agents[Other]->member().contacts();
    if (!Contacts.empty() && (!Result.Contacts || Other == Shard))
      Result.Contacts = &Contacts;
    if (Other == Shard || !Agents[Other]->leader())
      continue;
    ++Result.ShardsLed;
    Result.LowerShardsLed += Other < Shard ? 1 : 0;
  }
  return Result;
}

void Node::pump() {
  Policy.pump();
  readLayout();
  for (std::size_t Shard = 0; Shard < Agents.size(); ++Shard)
    Agents[Shard]->pump(surroundingsOf(Shard));
  if (const auto Decided = std::exchange(NewLayout, std::nullopt))
    setLayout(*Decided);
  Router.pump();
  while (!PendingDeliveries.empty()) {
    const std::function<void()> Deliver = std::move(PendingDeliveries.front());
    PendingDeliveries.pop_front();
    Deliver();
  }
}

bool Node::isReady() const {
  return !Leaving && Layout && Router.policy().Version > 0 &&
         std::all_of(Agents.begin(), Agents.end(),
                     [](const auto &Agent) { return Agent->isServing(); });
}

void Node::leave() {
  if (Leaving)
    return;
  Leaving = true;
  for (const auto &Agent : Agents)
    Agent->leave();
}

bool Node::isIdle() const {
  return Router.openCalls() == 0 &&
         std::none_of(Agents.begin(), Agents.end(),
                      [](const auto &Agent) { return Agent->leader(); });
}

const Leader *Node::leader(int Shard) const {
  return std::size_t(Shard) < Agents.size()
             ? Agents[std::size_t(Shard)]->leader()
             : nullptr;
}

} // namespace apricotwing::cell
