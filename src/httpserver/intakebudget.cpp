#include "httpserver/intakebudget.h"

#include <algorithm>
#include <utility>

namespace apricotwing {

namespace {

/// Both the text and its copy for the handler, or the spare room of a string
/// that has just doubled.
constexpr std::size_t CostPerByte = 2;

/// A chunk needs 16 bytes, or 32 after its array has doubled, and at least six
/// bytes of input, of which one is a carriage return. Most have two.
constexpr std::size_t CostPerCarriageReturn = 24;

/// Part of the connections, as a divisor, that requests at their handlers leave
/// to new clients. Requests of peers are answered within a second, and each
/// refusal costs a repetition, so few connections are kept from them.
constexpr std::array<std::size_t, IntakePartCount> KeptFraction = {4, 4, 16};

/// Index of the part whose bytes a connection uses. The probe needs none of its
/// own, as small requests are not limited, and its clients have the same limit
/// of a body as callers.
std::size_t bytesOf(IntakePart Part) {
  return std::size_t(Part == IntakePart::Probe ? IntakePart::Callers : Part);
}

} // namespace

std::size_t intakeCost(std::string_view Input) {
  return CostPerByte * Input.size() +
         CostPerCarriageReturn *
             std::size_t(std::count(Input.begin(), Input.end(), '\r'));
}

IntakeBudget::Id IntakeBudget::open(IntakePart Part, const std::string &Address,
                                    TimePoint Now, Closer Close) {
  const std::lock_guard Lock(Mutex);
  const Id Result = NextId++;
  Entry &Fresh = Entries[Result];
  Fresh.Part = Part;
  Fresh.Address = Address;
  Fresh.Close = std::move(Close);
  Fresh.Since = Now;
  const auto Index = std::size_t(Part);
  if (++Connections[Index] <= Limits.Parts[Index].Connections)
    return Result;
  Entry *Oldest = nullptr;
  for (auto &[Key, Item] : Entries)
    if (Key != Result && Item.Part == Part && !Item.Closing &&
        Item.Phase != State::Handling &&
        (!Oldest || Item.Since < Oldest->Since))
      Oldest = &Item;
  if (Oldest)
    close(*Oldest, IntakeRefusal::Connections);
  return Result;
}

void IntakeBudget::received(Id Connection, std::size_t Cost, TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Entry &Target = Entries.at(Connection);
  hold(Target, State::Receiving, Target.Bytes + Cost, Now);
}

bool IntakeBudget::admitsRequest(IntakePart Part, std::size_t BodyBytes) {
  const std::lock_guard Lock(Mutex);
  const std::size_t Connections = Limits.Parts[std::size_t(Part)].Connections;
  const std::size_t MaxHandling = std::max<std::size_t>(
      Connections - Connections / KeptFraction[std::size_t(Part)], 1);
  const std::size_t Held = HandlingBytes[bytesOf(Part)];
  const std::size_t HalfOfPart = Limits.Parts[bytesOf(Part)].Bytes / 2;
  const std::size_t Cost = CostPerByte * BodyBytes;
  const bool HasBytes =
      Cost <= SmallBytes || Held == 0 || Held + Cost <= HalfOfPart;
  if (HasBytes && Handling[std::size_t(Part)] < MaxHandling)
    return true;
  ++Refusals[std::size_t(IntakeRefusal::Waiting)];
  return false;
}

void IntakeBudget::handedOver(Id Connection) {
  const std::lock_guard Lock(Mutex);
  setPhase(Entries.at(Connection), State::Handling);
}

void IntakeBudget::writing(Id Connection, std::size_t Bytes, TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  hold(Entries.at(Connection), State::Writing, Bytes, Now);
}

void IntakeBudget::idle(Id Connection, TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Entry &Target = Entries.at(Connection);
  setPhase(Target, State::Idle);
  Target.Since = Now;
  setBytes(Target, 0);
}

void IntakeBudget::keep(Id Connection) {
  const std::lock_guard Lock(Mutex);
  Entry &Target = Entries.at(Connection);
  if (!Target.Closing)
    return;
  Target.Closing = false;
  --Refusals[std::size_t(Target.Reason)];
  Bytes[bytesOf(Target.Part)] += Target.Bytes;
  ++Connections[std::size_t(Target.Part)];
}

void IntakeBudget::remove(Id Connection) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Connection);
  if (Found == Entries.end())
    return;
  setBytes(Found->second, 0);
  setPhase(Found->second, State::Idle);
  if (!Found->second.Closing)
    --Connections[std::size_t(Found->second.Part)];
  Entries.erase(Found);
}

void IntakeBudget::closeOverdue(TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  for (auto &[Key, Item] : Entries)
    if (Item.Phase == State::Receiving && !Item.Closing &&
        Now - Item.Since > Limits.RequestTimeout)
      close(Item, IntakeRefusal::Slow);
}

std::size_t IntakeBudget::bytes(IntakePart Part) const {
  const std::lock_guard Lock(Mutex);
  return Bytes[bytesOf(Part)];
}

std::uint64_t IntakeBudget::refusals(IntakeRefusal Reason) const {
  const std::lock_guard Lock(Mutex);
  return Refusals[std::size_t(Reason)];
}

void IntakeBudget::setBytes(Entry &Target, std::size_t NewBytes) {
  if (!Target.Closing) {
    std::size_t &Sum = Bytes[bytesOf(Target.Part)];
    Sum = Sum - Target.Bytes + NewBytes;
  }
  if (Target.Phase == State::Handling)
    HandlingBytes[bytesOf(Target.Part)] += NewBytes - Target.Bytes;
  Target.Bytes = NewBytes;
}

void IntakeBudget::setPhase(Entry &Target, State Phase) {
  std::size_t &Count = Handling[std::size_t(Target.Part)];
  Count -= Target.Phase == State::Handling ? 1 : 0;
  Count += Phase == State::Handling ? 1 : 0;
  if (Target.Phase == State::Handling)
    HandlingBytes[bytesOf(Target.Part)] -= Target.Bytes;
  if (Phase == State::Handling)
    HandlingBytes[bytesOf(Target.Part)] += Target.Bytes;
  Target.Phase = Phase;
}

// Records what a connection holds in a phase, which begins if it is not already
// in it.
void IntakeBudget::hold(Entry &Target, State Phase, std::size_t NewBytes,
                        TimePoint Now) {
  if (Target.Phase != Phase)
    Target.Since = Now;
  setPhase(Target, Phase);
  setBytes(Target, NewBytes);
  enforce(Target);
}

void IntakeBudget::close(Entry &Target, IntakeRefusal Reason) {
  Bytes[bytesOf(Target.Part)] -= Target.Bytes;
  --Connections[std::size_t(Target.Part)];
  Target.Closing = true;
  Target.Reason = Reason;
  ++Refusals[std::size_t(Reason)];
  Target.Close(Reason);
}

void IntakeBudget::enforce(const Entry &Changed) {
  if (Changed.Closing)
    return;
  if (Limits.BytesPerAddress > 0) {
    std::size_t Sum = 0;
    for (const auto &[Key, Item] : Entries)
      if (bytesOf(Item.Part) == bytesOf(Changed.Part) && !Item.Closing &&
          Item.Address == Changed.Address)
        Sum += Item.Bytes;
    if (Sum > Limits.BytesPerAddress)
      closeLargest(Changed, IntakeRefusal::Address, SmallBytes);
  }
  const auto Index = bytesOf(Changed.Part);
  const std::size_t Limit = Limits.Parts[Index].Bytes;
  if (Bytes[Index] > Limit &&
      !closeLargest(Changed, IntakeRefusal::Memory, SmallBytes) &&
      Bytes[Index] > Limit + Limit / 4)
    closeLargest(Changed, IntakeRefusal::Memory, 0);
}

// Closes the connection that holds most, if that is more than \p MoreThan.
// Returns whether there is one.
bool IntakeBudget::closeLargest(const Entry &Like, IntakeRefusal Reason,
                                std::size_t MoreThan) {
  Entry *Largest = nullptr;
  for (auto &[Key, Item] : Entries) {
    if (bytesOf(Item.Part) != bytesOf(Like.Part) || Item.Closing ||
        Item.Phase == State::Handling || Item.Bytes <= MoreThan ||
        (Reason == IntakeRefusal::Address && Item.Address != Like.Address))
      continue;
    if (!Largest || Item.Bytes > Largest->Bytes ||
        (Item.Bytes == Largest->Bytes && Item.Since < Largest->Since))
      Largest = &Item;
  }
  if (Largest)
    close(*Largest, Reason);
  return Largest != nullptr;
}

} // namespace apricotwing
