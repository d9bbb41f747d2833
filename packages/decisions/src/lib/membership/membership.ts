import { loadChart } from '../chart/load-chart.js';
import type { Random } from '../random.js';
import type { Member } from './member.js';
import { MemberState } from './member-state.js';
import type { MembershipMessage } from './membership-message.js';
import type { MembershipSettings } from './membership-settings.js';
import type { Rumor } from './rumor.js';
import { RumorTable } from './rumor-table.js';

/** Prefix of the keys of rumors about members. */
const MEMBER_PREFIX = 'member/';
/** Number of relayed pings without an ack at which all of them are dropped. */
const PENDING_RELAY_COUNT_MAX = 256;
/** Maximum number of suspected members that are pinged in a round. */
const SUSPECT_PING_COUNT_MAX = 4;
/** Precedence among rumors with the same incarnation of a member: the higher rank wins. */
const stateRank: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** A datagram and the member to send it to. */
interface OutgoingMessage {
  readonly to: Member;
  readonly message: MembershipMessage;
}

/** The ping of the current round, until its ack arrives or the round ends. */
interface Probe {
  readonly target: Member;
  readonly sequence: number;
  readonly startedMs: number;
  /** Whether other members have been asked to ping the target as well. */
  isIndirect: boolean;
}

/** A ping sent on behalf of another member; its ack is forwarded with that member's sequence. */
interface Relay {
  readonly requester: Member;
  readonly sequence: number;
}

const chart = loadChart('member');

/**
 * Group membership and failure detection after the SWIM protocol: in each period, an instance pings
 * one member; when no ack arrives, it asks other members to ping it as well, and suspects it only
 * after that. A suspected member refutes the suspicion by raising its incarnation. The load of an
 * instance does not grow with the size of the group.
 */
export class Membership {
  readonly rumors = new RumorTable();
  readonly #settings: MembershipSettings;
  readonly #random: Random;
  readonly #members = new Map<string, Member>();
  /** When each suspected member was suspected or last sent an ack, in milliseconds. */
  readonly #suspectedMs = new Map<string, number>();
  /** Relayed pings without an ack yet, by the sequence of the relayed ping. */
  readonly #relays = new Map<number, Relay>();
  #self: Member;
  #probe: Probe | undefined;
  /**
   * Names of the members still to be pinged before the order is shuffled again; the last goes
   * first.
   */
  #pingOrder: string[] = [];
  #sequence = 0;
  #roundNumber = 0;
  #lastTickMs: number | undefined;
  #nextRoundMs = 0;
  #nextDeadPingMs = 0;
  #nextGossipMs = 0;
  #version = 0;

  /**
   * @param self - this instance, in state `alive`
   * @param settings - timings of the heartbeats
   * @param random - seeded random numbers
   */
  constructor(self: Member, settings: MembershipSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
    this.#self = self;
    this.#record(self);
  }

  /** This instance, as published to the others. */
  get self(): Member {
    return this.#self;
  }

  /** Incremented whenever any member changes, so that caches can be invalidated. */
  get version(): number {
    return this.#version;
  }

  /** All known members in any state, including this instance. */
  get members(): ReadonlyMap<string, Member> {
    return this.#members;
  }

  /**
   * @returns members in state `alive` or `suspect`, including this instance if it is one of them
   */
  activeMembers(): Member[] {
    return [...this.#members.values()].filter(({ state }) =>
      ([MemberState.alive, MemberState.suspect] as MemberState[]).includes(state),
    );
  }

  /**
   * Adds the instances of the platform's list that are not known yet. The list lags behind, so it
   * does not change members that are known already: their state comes from heartbeats.
   *
   * @param listed - instances of the list
   */
  addListedMembers(listed: readonly Omit<Member, 'incarnation' | 'life' | 'state'>[]): void {
    listed.forEach((entry) => {
      if (this.#members.has(entry.name)) return;
      // Not spread as a rumor: every instance reads the list itself.
      const member = { ...entry, life: '', incarnation: 0, state: MemberState.alive };
      this.#members.set(entry.name, member);
      this.#version += 1;
    });
  }

  /**
   * Publishes that this instance is shutting down.
   *
   * @param state - `leaving`: it accepts no new work; `left`: it is about to exit
   */
  announce(state: 'leaving' | 'left'): void {
    const event = state === 'leaving' ? 'LEAVE' : 'STOP';
    if (!chart.can(this.#self.state, event)) return;
    this.#self = { ...this.#self, state: chart.next(this.#self.state, event) as MemberState };
    this.#record(this.#self);
  }

  /**
   * Runs what is due: rounds, timeouts and additional pings. A gap of two periods or more between
   * two calls is taken as a suspension of this process.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns datagrams to send
   */
  tick(nowMs: number): OutgoingMessage[] {
    this.#discountSuspension(nowMs);
    const out: OutgoingMessage[] = [];
    out.push(...this.#requestIndirectPings(nowMs));
    this.#expireSuspects(nowMs);
    if (nowMs >= this.#nextRoundMs) {
      this.#nextRoundMs = nowMs + this.#settings.periodMs;
      this.#suspectUnanswered(nowMs);
      out.push(...this.#startRound(nowMs), ...this.#pingSuspects());
    }
    if (this.rumors.spreadingCount > 0 && nowMs >= this.#nextGossipMs) {
      this.#nextGossipMs = nowMs + this.#settings.gossipIntervalMs;
      out.push(...this.#sendRumors());
    }
    if (nowMs >= this.#nextDeadPingMs) {
      this.#nextDeadPingMs = nowMs + this.#settings.deadPingIntervalMs;
      out.push(...this.#pingDeadOrLeft());
    }
    return out;
  }

  /**
   * Handles a datagram that was received.
   *
   * @param message - the datagram
   * @param nowMs - monotonic clock, in milliseconds
   * @returns datagrams to send
   */
  receive(message: MembershipMessage, nowMs: number): OutgoingMessage[] {
    if (message.type === 'pingRequest') return this.#onPingRequest(message);
    // Applies every rumor; the ack lists those that were not new.
    const known = message.rumors.filter((rumor) => !this.applyRumor(rumor, nowMs));
    const knownKeys = known.map(({ key }) => key);
    if (message.type === 'ping') return this.#onPing(message, knownKeys);
    return this.#onAck(message, nowMs);
  }

  /**
   * Stores a rumor, whether it came with a heartbeat, over a stream or from this instance itself.
   * One about a member updates that member, too; one about this instance is refuted if it is wrong.
   *
   * @param rumor - the rumor
   * @param nowMs - monotonic clock, in milliseconds
   * @param shouldSpread - whether to spread it; `false` when the other instances have it already
   * @returns whether it was new
   */
  applyRumor(rumor: Rumor, nowMs: number, shouldSpread = true): boolean {
    if (!rumor.key.startsWith(MEMBER_PREFIX)) return this.rumors.store(rumor, shouldSpread);
    const member = rumor.value as Member;
    if (member.name === this.#self.name) return this.#refuteIfNeeded(member);
    if (!this.rumors.store(rumor, shouldSpread)) {
      this.#spreadFormerRun(member);
      return false;
    }
    this.#members.set(member.name, member);
    this.#version += 1;
    if (member.state === MemberState.suspect) this.#suspectedMs.set(member.name, nowMs);
    else this.#suspectedMs.delete(member.name);
    return true;
  }

  #record(member: Member): void {
    this.#members.set(member.name, member);
    this.#version += 1;
    this.rumors.store({
      key: MEMBER_PREFIX + member.name,
      version: [member.incarnation, stateRank[member.state]],
      value: member,
    });
  }

  // An instance that was restarted after its clock was set back starts with an incarnation that
  // isn't higher than that of its former run, so its rumor is ignored. Spreading the rumor about
  // the former run again makes the instance raise its incarnation above it.
  #spreadFormerRun({ name, life }: Member): void {
    const known = this.#members.get(name);
    if (known && known.life !== life) this.rumors.spreadAgain(MEMBER_PREFIX + name);
  }

  #refuteIfNeeded(report: Member): boolean {
    const isOld = report.incarnation < this.#self.incarnation;
    const isThisRun = report.life === this.#self.life || report.life === '';
    const isSame =
      isThisRun &&
      report.incarnation === this.#self.incarnation &&
      stateRank[report.state] <= stateRank[this.#self.state];
    if (isOld || isSame) return false;
    this.#self = { ...this.#self, incarnation: report.incarnation + 1 };
    this.#record(this.#self);
    return true;
  }

  // When this process was suspended, it could not receive acks in that time, so that time must not
  // count against other members: the current probe is dropped and suspicions are extended by the
  // gap.
  #discountSuspension(nowMs: number): void {
    const gapMs = nowMs - (this.#lastTickMs ?? nowMs);
    this.#lastTickMs = nowMs;
    if (gapMs < 2 * this.#settings.periodMs) return;
    this.#probe = undefined;
    this.#suspectedMs.forEach((sinceMs, name) => this.#suspectedMs.set(name, sinceMs + gapMs));
  }

  #requestIndirectPings(nowMs: number): OutgoingMessage[] {
    const probe = this.#probe;
    if (!probe || probe.isIndirect) return [];
    if (nowMs - probe.startedMs < this.#settings.pingTimeoutMs) return [];
    probe.isIndirect = true;
    const helpers = this.activeMembers().filter(
      ({ name }) => name !== this.#self.name && name !== probe.target.name,
    );
    return this.#random
      .shuffle(helpers)
      .slice(0, this.#settings.indirectPingCount)
      .map((to) => ({
        to,
        message: {
          type: 'pingRequest',
          from: this.#self.name,
          sequence: probe.sequence,
          target: probe.target.name,
        },
      }));
  }

  #suspectUnanswered(nowMs: number): void {
    const unanswered = this.#probe && this.#members.get(this.#probe.target.name);
    this.#probe = undefined;
    if (!unanswered || !chart.can(unanswered.state, 'SUSPECT')) return;
    this.#record({ ...unanswered, state: chart.next(unanswered.state, 'SUSPECT') as MemberState });
    this.#suspectedMs.set(unanswered.name, nowMs);
  }

  #expireSuspects(nowMs: number): void {
    const scale = Math.max(1, Math.log10(this.#members.size));
    const limitMs = this.#settings.suspicionMs * scale;
    this.#suspectedMs.forEach((sinceMs, name) => {
      const member = this.#members.get(name);
      if (!member || nowMs - sinceMs < limitMs) return;
      this.#suspectedMs.delete(name);
      if (!chart.can(member.state, 'EXPIRE')) return;
      this.#record({ ...member, state: chart.next(member.state, 'EXPIRE') as MemberState });
    });
  }

  #startRound(nowMs: number): OutgoingMessage[] {
    this.#roundNumber += 1;
    const target = this.#nextTarget();
    if (!target) return [];
    this.#sequence += 1;
    this.#probe = { target, sequence: this.#sequence, startedMs: nowMs, isIndirect: false };
    return [{ to: target, message: this.#ping(this.#sequence, target) }];
  }

  // The other members of the failure domain are pinged once each in random order, then the order is
  // shuffled again. This bounds the time until a failure is detected; independent random picks
  // would bound only its mean. They are used only in rounds for other failure domains, and when the
  // own failure domain has no other member to ping.
  #nextTarget(): Member | undefined {
    const isRemoteRound = this.#roundNumber % this.#settings.roundsPerRemotePing === 0;
    const isCandidate = ({ name, failureDomain, state }: Member): boolean =>
      name !== this.#self.name &&
      ([MemberState.alive, MemberState.leaving, MemberState.suspect] as MemberState[]).includes(
        state,
      ) &&
      (failureDomain !== this.#self.failureDomain) === isRemoteRound;
    if (isRemoteRound) return this.#random.pick([...this.#members.values()].filter(isCandidate));
    const hasNoCandidate = ![...this.#members.values()].some(isCandidate);
    if (hasNoCandidate) {
      return this.#random.pick(this.activeMembers().filter(({ name }) => name !== this.#self.name));
    }
    // First the rest of the current order, then a newly shuffled one.
    for (let turn = 0; turn < 2; turn += 1) {
      while (this.#pingOrder.length > 0) {
        const member = this.#members.get(this.#pingOrder.pop() as string);
        if (member && isCandidate(member)) return member;
      }
      const candidates = [...this.#members.values()].filter(isCandidate);
      this.#pingOrder = this.#random.shuffle(candidates.map(({ name }) => name));
    }
    return undefined;
  }

  // Rumors don't wait for the next heartbeat: that an endpoint is leaving has to be known
  // everywhere within seconds. Rumors are being spread only for short times, so the added load is
  // small.
  #sendRumors(): OutgoingMessage[] {
    const others = this.activeMembers().filter(({ name }) => name !== this.#self.name);
    const to = this.#random.pick(others);
    if (!to) return [];
    this.#sequence += 1;
    return [{ to, message: this.#ping(this.#sequence, to) }];
  }

  // A suspected member is pinged again in each round until the suspicion expires: it may have
  // refuted the suspicion, and the datagram with the refutation may have been lost.
  #pingSuspects(): OutgoingMessage[] {
    const suspects = [...this.#suspectedMs.keys()].slice(0, SUSPECT_PING_COUNT_MAX);
    return suspects.flatMap((name) => {
      const to = this.#members.get(name);
      if (!to) return [];
      this.#sequence += 1;
      return [{ to, message: this.#ping(this.#sequence, to) }];
    });
  }

  #pingDeadOrLeft(): OutgoingMessage[] {
    const deadOrLeft = [...this.#members.values()].filter(
      ({ state }) => state === MemberState.dead || state === MemberState.left,
    );
    const target = this.#random.pick(deadOrLeft);
    if (!target) return [];
    this.#sequence += 1;
    return [{ to: target, message: this.#ping(this.#sequence, target) }];
  }

  // A ping carries the sender's own rumor, so that a receiver that does not know the sender can
  // answer. To a member that is not in state `alive` here it also carries the rumor that says so,
  // which makes the member refute it.
  #ping(sequence: number, target: Member): MembershipMessage & { type: 'ping' } {
    const names = target.state === MemberState.alive ? [] : [target.name];
    const own = [this.#self.name, ...names].map((name) => this.rumors.get(MEMBER_PREFIX + name));
    const rumors = [...own.filter((rumor) => rumor !== undefined), ...this.#pickRumors()];
    return { type: 'ping', from: this.#self.name, sequence, rumors };
  }

  #pickRumors(): Rumor[] {
    return this.rumors.pick(this.#settings.rumorBytes, this.#members.size);
  }

  #onPing(
    message: MembershipMessage & { type: 'ping' },
    known: readonly string[],
  ): OutgoingMessage[] {
    const to = this.#members.get(message.from);
    if (!to) return [];
    // The ack carries this instance's own rumor: the sender of the ping may not have received the
    // refutation of a suspicion.
    const own = this.rumors.get(MEMBER_PREFIX + this.#self.name);
    const rumors = [...(own ? [own] : []), ...this.#pickRumors()];
    const { sequence } = message;
    const answer = { type: 'ack' as const, from: this.#self.name, sequence, rumors, known };
    return [{ to, message: answer }];
  }

  #onAck(message: MembershipMessage & { type: 'ack' }, nowMs: number): OutgoingMessage[] {
    this.rumors.countKnown(message.known);
    if (this.#probe?.sequence === message.sequence) this.#probe = undefined;
    const relay = this.#relays.get(message.sequence);
    this.#relays.delete(message.sequence);
    this.#restartSuspicionTimeout(message.from, nowMs);
    if (!relay) return [];
    const answer = { ...message, sequence: relay.sequence, rumors: [], known: [] };
    return [{ to: relay.requester, message: answer }];
  }

  // An ack restarts the suspicion timeout of its sender but does not make it `alive`: the rumor of
  // the suspicion has reached other instances, and only the suspected member can refute it. The
  // rumor is spread again so that it reaches that member.
  #restartSuspicionTimeout(name: string, nowMs: number): void {
    if (this.#suspectedMs.has(name)) this.#suspectedMs.set(name, nowMs);
    if (this.#members.get(name)?.state === MemberState.suspect) {
      this.rumors.spreadAgain(MEMBER_PREFIX + name);
    }
  }

  #onPingRequest(message: MembershipMessage & { type: 'pingRequest' }): OutgoingMessage[] {
    const requester = this.#members.get(message.from);
    const to = this.#members.get(message.target);
    if (!requester || !to) return [];
    this.#sequence += 1;
    if (this.#relays.size >= PENDING_RELAY_COUNT_MAX) this.#relays.clear();
    this.#relays.set(this.#sequence, { requester, sequence: message.sequence });
    return [{ to, message: this.#ping(this.#sequence, to) }];
  }
}
