import { loadChart } from '../chart/load-chart.js';
import type { Random } from '../random.js';
import type { Member } from './member.js';
import { MemberState } from './member-state.js';
import type { MembershipMessage } from './membership-message.js';
import type { MembershipSettings } from './membership-settings.js';
import type { Rumor } from './rumor.js';
import { RumorTable } from './rumor-table.js';

const MEMBER_PREFIX = 'member/';
const RELAY_COUNT_MAX = 256;
const SUSPECT_ASK_COUNT_MAX = 4;
/** Of two reports on one incarnation the one with the higher rank wins. */
const stateRank: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** A datagram to send. */
interface OutgoingMessage {
  readonly to: Member;
  readonly message: MembershipMessage;
}

interface Probe {
  readonly target: Member;
  readonly sequence: number;
  readonly startedMs: number;
  isIndirect: boolean;
}

/** A ping that was made for another member: its answer goes back under the other's number. */
interface Relay {
  readonly askedBy: Member;
  readonly sequence: number;
}

const chart = loadChart('member');

/**
 * Who is alive, learned by heartbeats in the manner of SWIM: each instance pings one member a
 * period, asks others to try before it suspects, and a suspected member can refute by raising its
 * incarnation. The cost of an instance does not grow with the group.
 */
export class Membership {
  readonly rumors = new RumorTable();
  readonly #settings: MembershipSettings;
  readonly #random: Random;
  readonly #members = new Map<string, Member>();
  readonly #suspectedMs = new Map<string, number>();
  readonly #relays = new Map<number, Relay>();
  #self: Member;
  #probe: Probe | undefined;
  #order: string[] = [];
  #sequence = 0;
  #round = 0;
  #lastTickMs: number | undefined;
  #nextRoundMs = 0;
  #nextReviveMs = 0;
  #nextNewsMs = 0;
  #version = 0;

  /**
   * @param self - this instance, alive
   * @param settings - times of the heartbeats
   * @param random - seeded numbers
   */
  constructor(self: Member, settings: MembershipSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
    this.#self = self;
    this.#record(self);
  }

  /** This instance as the others are told. */
  get self(): Member {
    return this.#self;
  }

  /** Raised whenever any member changes; for caches. */
  get version(): number {
    return this.#version;
  }

  /** All members known, in any state, this instance among them. */
  get members(): ReadonlyMap<string, Member> {
    return this.#members;
  }

  /** @returns members that take part: alive, or only suspected */
  present(): Member[] {
    return [...this.#members.values()].filter(({ state }) =>
      ([MemberState.alive, MemberState.suspect] as MemberState[]).includes(state),
    );
  }

  /**
   * Learns of members from the platform's list. The list lags, so it only names those that are not
   * known yet; heartbeats decide about the others.
   *
   * @param listed - members of the list
   */
  seed(listed: readonly Omit<Member, 'incarnation' | 'life' | 'state'>[]): void {
    listed.forEach((entry) => {
      if (this.#members.has(entry.name)) return;
      // What the list says is no news to spread: everyone reads the list.
      const member = { ...entry, life: '', incarnation: 0, state: MemberState.alive };
      this.#members.set(entry.name, member);
      this.#version += 1;
    });
  }

  /**
   * Tells the others that this instance is going.
   *
   * @param state - `leaving` takes no new work, `left` is gone
   */
  announce(state: 'leaving' | 'left'): void {
    const event = state === 'leaving' ? 'LEAVE' : 'STOP';
    if (!chart.can(this.#self.state, event)) return;
    this.#self = { ...this.#self, state: chart.next(this.#self.state, event) as MemberState };
    this.#record(this.#self);
  }

  /**
   * Lets time pass.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns datagrams to send
   */
  tick(nowMs: number): OutgoingMessage[] {
    this.#forgivePause(nowMs);
    const out: OutgoingMessage[] = [];
    out.push(...this.#askOthers(nowMs));
    this.#expireSuspects(nowMs);
    if (nowMs >= this.#nextRoundMs) {
      this.#nextRoundMs = nowMs + this.#settings.periodMs;
      this.#suspectSilent(nowMs);
      out.push(...this.#startRound(nowMs), ...this.#askSuspects());
    }
    if (this.rumors.hotCount > 0 && nowMs >= this.#nextNewsMs) {
      this.#nextNewsMs = nowMs + this.#settings.newsMs;
      out.push(...this.#spreadNews());
    }
    if (nowMs >= this.#nextReviveMs) {
      this.#nextReviveMs = nowMs + this.#settings.reviveMs;
      out.push(...this.#tryDead());
    }
    return out;
  }

  /**
   * Takes a datagram.
   *
   * @param message - the datagram
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns datagrams to send
   */
  receive(message: MembershipMessage, nowMs: number): OutgoingMessage[] {
    if (message.type === 'pingRequest') return this.#takePingRequest(message);
    const known = message.rumors.filter((rumor) => !this.takeRumor(rumor, nowMs));
    const knownKeys = known.map(({ key }) => key);
    if (message.type === 'ping') return this.#takePing(message, knownKeys);
    return this.#takeAck(message, nowMs);
  }

  /**
   * Takes a fact, by whatever way it came.
   *
   * @param rumor - the fact
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @param isSpread - whether others may not know it yet
   * @returns whether it was news
   */
  takeRumor(rumor: Rumor, nowMs: number, isSpread = true): boolean {
    if (!rumor.key.startsWith(MEMBER_PREFIX)) return this.rumors.take(rumor, isSpread);
    const member = rumor.value as Member;
    if (member.name === this.#self.name) return this.#refute(member);
    if (!this.rumors.take(rumor, isSpread)) {
      this.#tellOfFormerLife(member);
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
    this.rumors.take({
      key: MEMBER_PREFIX + member.name,
      version: [member.incarnation, stateRank[member.state]],
      value: member,
    });
  }

  // An instance that was restarted while its clock was set back comes with an incarnation that is no
  // news. Hearing of its former life makes it raise its own.
  #tellOfFormerLife({ name, life }: Member): void {
    const known = this.#members.get(name);
    if (known && known.life !== life) this.rumors.reheat(MEMBER_PREFIX + name);
  }

  #refute(report: Member): boolean {
    const isOld = report.incarnation < this.#self.incarnation;
    const isOwnLife = report.life === this.#self.life || report.life === '';
    const isSame =
      isOwnLife &&
      report.incarnation === this.#self.incarnation &&
      stateRank[report.state] <= stateRank[this.#self.state];
    if (isOld || isSame) return false;
    this.#self = { ...this.#self, incarnation: report.incarnation + 1 };
    this.#record(this.#self);
    return true;
  }

  // A process that was paused must not hold the silence of that time against the others.
  #forgivePause(nowMs: number): void {
    const gapMs = nowMs - (this.#lastTickMs ?? nowMs);
    this.#lastTickMs = nowMs;
    if (gapMs < 2 * this.#settings.periodMs) return;
    this.#probe = undefined;
    this.#suspectedMs.forEach((sinceMs, name) => this.#suspectedMs.set(name, sinceMs + gapMs));
  }

  #askOthers(nowMs: number): OutgoingMessage[] {
    const probe = this.#probe;
    if (!probe || probe.isIndirect) return [];
    if (nowMs - probe.startedMs < this.#settings.pingTimeoutMs) return [];
    probe.isIndirect = true;
    const helpers = this.present().filter(
      ({ name }) => name !== this.#self.name && name !== probe.target.name,
    );
    return this.#random
      .shuffle(helpers)
      .slice(0, this.#settings.indirectCount)
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

  #suspectSilent(nowMs: number): void {
    const silent = this.#probe && this.#members.get(this.#probe.target.name);
    this.#probe = undefined;
    if (!silent || !chart.can(silent.state, 'SUSPECT')) return;
    this.#record({ ...silent, state: chart.next(silent.state, 'SUSPECT') as MemberState });
    this.#suspectedMs.set(silent.name, nowMs);
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
    this.#round += 1;
    const target = this.#nextTarget();
    if (!target) return [];
    this.#sequence += 1;
    this.#probe = { target, sequence: this.#sequence, startedMs: nowMs, isIndirect: false };
    return [{ to: target, message: this.#ping(this.#sequence, target) }];
  }

  // Members are pinged in a shuffled order, anew for each lap, so that the time until a death is
  // noticed has a bound and not only a mean.
  #nextTarget(): Member | undefined {
    const isRemoteRound = this.#round % this.#settings.remoteEvery === 0;
    const isCandidate = ({ name, failureDomain, state }: Member): boolean =>
      name !== this.#self.name &&
      ([MemberState.alive, MemberState.leaving, MemberState.suspect] as MemberState[]).includes(
        state,
      ) &&
      (failureDomain !== this.#self.failureDomain) === isRemoteRound;
    if (isRemoteRound) return this.#random.pick([...this.#members.values()].filter(isCandidate));
    const isAlone = ![...this.#members.values()].some(isCandidate);
    if (isAlone) {
      return this.#random.pick(this.present().filter(({ name }) => name !== this.#self.name));
    }
    for (let lap = 0; lap < 2; lap += 1) {
      while (this.#order.length > 0) {
        const member = this.#members.get(this.#order.pop() as string);
        if (member && isCandidate(member)) return member;
      }
      const candidates = [...this.#members.values()].filter(isCandidate);
      this.#order = this.#random.shuffle(candidates.map(({ name }) => name));
    }
    return undefined;
  }

  // News does not wait for the next heartbeat: an endpoint that leaves must be known within seconds.
  // There is news only for moments, so the cost of this is small over a day.
  #spreadNews(): OutgoingMessage[] {
    const others = this.present().filter(({ name }) => name !== this.#self.name);
    const to = this.#random.pick(others);
    if (!to) return [];
    this.#sequence += 1;
    return [{ to, message: this.#ping(this.#sequence, to) }];
  }

  // A suspected member is asked again in each round until its time is up: it may have refuted, and the
  // news of that may have been lost on its way here.
  #askSuspects(): OutgoingMessage[] {
    const suspects = [...this.#suspectedMs.keys()].slice(0, SUSPECT_ASK_COUNT_MAX);
    return suspects.flatMap((name) => {
      const to = this.#members.get(name);
      if (!to) return [];
      this.#sequence += 1;
      return [{ to, message: this.#ping(this.#sequence, to) }];
    });
  }

  #tryDead(): OutgoingMessage[] {
    const gone = [...this.#members.values()].filter(
      ({ state }) => state === MemberState.dead || state === MemberState.left,
    );
    const target = this.#random.pick(gone);
    if (!target) return [];
    this.#sequence += 1;
    return [{ to: target, message: this.#ping(this.#sequence, target) }];
  }

  // A ping names its sender, so that one who does not know it can answer; and it tells a member
  // that is not thought alive so, which makes the member refute.
  #ping(sequence: number, target: Member): MembershipMessage & { type: 'ping' } {
    const names = target.state === MemberState.alive ? [] : [target.name];
    const own = [this.#self.name, ...names].map((name) => this.rumors.get(MEMBER_PREFIX + name));
    const rumors = [...own.filter((rumor) => rumor !== undefined), ...this.#pickRumors()];
    return { type: 'ping', from: this.#self.name, sequence, rumors };
  }

  #pickRumors(): Rumor[] {
    return this.rumors.pick(this.#settings.rumorBytes, this.#members.size);
  }

  #takePing(
    message: MembershipMessage & { type: 'ping' },
    known: readonly string[],
  ): OutgoingMessage[] {
    const to = this.#members.get(message.from);
    if (!to) return [];
    // An answer names its sender's life: who asked may have missed that a suspicion was refuted.
    const own = this.rumors.get(MEMBER_PREFIX + this.#self.name);
    const rumors = [...(own ? [own] : []), ...this.#pickRumors()];
    const { sequence } = message;
    const answer = { type: 'ack' as const, from: this.#self.name, sequence, rumors, known };
    return [{ to, message: answer }];
  }

  #takeAck(message: MembershipMessage & { type: 'ack' }, nowMs: number): OutgoingMessage[] {
    this.rumors.noteKnown(message.known);
    if (this.#probe?.sequence === message.sequence) this.#probe = undefined;
    const relay = this.#relays.get(message.sequence);
    this.#relays.delete(message.sequence);
    this.#clearSuspicion(message.from, nowMs);
    if (!relay) return [];
    const answer = { ...message, sequence: relay.sequence, rumors: [], known: [] };
    return [{ to: relay.askedBy, message: answer }];
  }

  // An answer heard with one's own ears ends one's own suspicion, but not what others were told:
  // the member itself refutes that.
  #clearSuspicion(name: string, nowMs: number): void {
    if (this.#suspectedMs.has(name)) this.#suspectedMs.set(name, nowMs);
    if (this.#members.get(name)?.state === MemberState.suspect) {
      this.rumors.reheat(MEMBER_PREFIX + name);
    }
  }

  #takePingRequest(message: MembershipMessage & { type: 'pingRequest' }): OutgoingMessage[] {
    const askedBy = this.#members.get(message.from);
    const to = this.#members.get(message.target);
    if (!askedBy || !to) return [];
    this.#sequence += 1;
    if (this.#relays.size >= RELAY_COUNT_MAX) this.#relays.clear();
    this.#relays.set(this.#sequence, { askedBy, sequence: message.sequence });
    return [{ to, message: this.#ping(this.#sequence, to) }];
  }
}
