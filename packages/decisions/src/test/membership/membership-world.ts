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

/** State machines of several instances, with datagrams that can be lost and cut off. */
export class MembershipWorld {
  nowMs = 0;
  /** Share of datagrams that are lost. */
  lossShare = 0;
  /** Names that do nothing for now. */
  readonly paused = new Set<string>();
  /** `from>to` pairs that nothing passes between. */
  readonly cut = new Set<string>();
  readonly nodes = new Map<string, Membership>();
  /** Times that a living instance was held for dead by another. */
  falseDeaths = 0;
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
      node.seed(all);
      this.nodes.set(member.name, node);
    });
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.#deliver();
      this.nodes.forEach((node, name) => {
        if (!this.paused.has(name)) this.#send(name, node.tick(this.nowMs));
      });
      this.#count();
    }
  }

  /** Restarts an instance under its name: it knows only what the list says. */
  restart(name: string): void {
    const old = this.nodes.get(name) as Membership;
    const seeds = [...old.members.values()].map((member) => ({ ...member }));
    const member: Member = { ...old.self, life: `${name}-again`, incarnation: 1, state: 'alive' };
    const node = new Membership(member, defaultMembershipSettings, new Random(this.nowMs));
    node.seed(seeds);
    this.nodes.set(name, node);
  }

  /** Cuts two groups off from one another, both ways or one way. */
  cutBetween(left: readonly string[], right: readonly string[], isBothWays = true): void {
    left.forEach((from) =>
      right.forEach((to) => {
        this.cut.add(`${from}>${to}`);
        if (isBothWays) this.cut.add(`${to}>${from}`);
      }),
    );
  }

  /** Whether every instance that runs holds another for being in a state. */
  allThink(name: string, state: Member['state']): boolean {
    return [...this.nodes].every(
      ([other, node]) =>
        other === name || this.paused.has(other) || node.members.get(name)?.state === state,
    );
  }

  // eslint-disable-next-line class-methods-use-this -- reads best beside its user
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
      if (this.cut.has(`${from}>${to.name}`) || this.#random.unit() < this.lossShare) return;
      this.#deliveries.push({ atMs: this.nowMs + 2, from, to: to.name, message });
    });
  }

  #deliver(): void {
    const due = this.#deliveries.filter(
      ({ atMs, to }) => atMs <= this.nowMs && !this.paused.has(to),
    );
    this.#deliveries = this.#deliveries.filter((delivery) => !due.includes(delivery));
    due.forEach(({ to, message }) => {
      const node = this.nodes.get(to);
      if (node) this.#send(to, node.receive(message, this.nowMs));
    });
  }

  #count(): void {
    this.nodes.forEach((node, name) => {
      if (this.paused.has(name)) return;
      node.members.forEach((member) => {
        const isRunning = this.nodes.has(member.name);
        if (isRunning && member.state === 'dead' && !this.paused.has(member.name)) {
          this.falseDeaths += 1;
        }
      });
    });
  }
}
