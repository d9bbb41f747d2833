import { defaultMembershipSettings } from '../../lib/membership/default-membership-settings.js';
import type { Member } from '../../lib/membership/member.js';
import { Membership } from '../../lib/membership/membership.js';
import type { MembershipMessage } from '../../lib/membership/membership-message.js';
import { Random } from '../../lib/random.js';

const TICK_MS = 50;

interface Delivery {
  readonly atMs: number;
  readonly from: string;
  readonly to: string;
  readonly message: MembershipMessage;
}

/** Simulates the membership of several instances, whose datagrams can be lost or blocked. */
export class MembershipWorld {
  nowMs = 0;
  /** Fraction of datagrams that are lost, 0 to 1. */
  lossRate = 0;
  /** Names of instances that are suspended: they neither tick nor receive. */
  readonly suspended = new Set<string>();
  /** Pairs `from>to` between which all datagrams are dropped. */
  readonly blocked = new Set<string>();
  readonly nodes = new Map<string, Membership>();
  /**
   * Number of times that a running member was in state `dead` on another; one per tick and pair.
   */
  falseDeadCount = 0;
  readonly #random: Random;
  #deliveries: Delivery[] = [];

  constructor(count: number, domainCount: number, seed: number) {
    this.#random = new Random(seed);
    const all = Array.from({ length: count }, (_, index) => this.#member(index, domainCount));
    all.forEach((member, index) => {
      const node = new Membership(
        member,
        defaultMembershipSettings,
        new Random(seed * 100 + index),
      );
      node.addListedMembers(all);
      this.nodes.set(member.name, node);
    });
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.#deliver();
      this.nodes.forEach((node, name) => {
        if (!this.suspended.has(name)) this.#send(name, node.tick(this.nowMs));
      });
      this.#countFalseDead();
    }
  }

  /** Restarts an instance under the same name; the new run knows only the platform's list. */
  restart(name: string): void {
    const old = this.nodes.get(name) as Membership;
    const seeds = [...old.members.values()].map((member) => ({ ...member }));
    const member: Member = { ...old.self, life: `${name}-again`, incarnation: 1, state: 'alive' };
    const node = new Membership(member, defaultMembershipSettings, new Random(this.nowMs));
    node.addListedMembers(seeds);
    this.nodes.set(name, node);
  }

  /** Blocks datagrams between two groups, in both directions or only from `left` to `right`. */
  blockBetween(left: readonly string[], right: readonly string[], isBothWays = true): void {
    left.forEach((from) =>
      right.forEach((to) => {
        this.blocked.add(`${from}>${to}`);
        if (isBothWays) this.blocked.add(`${to}>${from}`);
      }),
    );
  }

  /**
   * @returns whether every other instance that isn't suspended has recorded this state of `name`
   */
  allSeeStateOf(name: string, state: Member['state']): boolean {
    return [...this.nodes].every(
      ([other, node]) =>
        other === name || this.suspended.has(other) || node.members.get(name)?.state === state,
    );
  }

  // eslint-disable-next-line class-methods-use-this -- kept next to the constructor that calls it
  #member(index: number, domainCount: number): Member {
    return {
      name: `i${index}`,
      host: '127.0.0.1',
      port: index,
      failureDomain: `d${index % domainCount}`,
      region: 'r',
      size: 1,
      life: `i${index}-1`,
      incarnation: 1,
      state: 'alive',
    };
  }

  #send(from: string, messages: ReturnType<Membership['tick']>): void {
    messages.forEach(({ to, message }) => {
      if (this.blocked.has(`${from}>${to.name}`) || this.#random.unit() < this.lossRate) return;
      this.#deliveries.push({ atMs: this.nowMs + 2, from, to: to.name, message });
    });
  }

  #deliver(): void {
    const due = this.#deliveries.filter(
      ({ atMs, to }) => atMs <= this.nowMs && !this.suspended.has(to),
    );
    this.#deliveries = this.#deliveries.filter((delivery) => !due.includes(delivery));
    due.forEach(({ to, message }) => {
      const node = this.nodes.get(to);
      if (node) this.#send(to, node.receive(message, this.nowMs));
    });
  }

  #countFalseDead(): void {
    this.nodes.forEach((node, name) => {
      if (this.suspended.has(name)) return;
      node.members.forEach((member) => {
        const isRunning = this.nodes.has(member.name);
        if (isRunning && member.state === 'dead' && !this.suspended.has(member.name)) {
          this.falseDeadCount += 1;
        }
      });
    });
  }
}
