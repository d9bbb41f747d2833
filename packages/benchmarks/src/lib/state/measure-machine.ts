import { defaultMembershipSettings, Membership, Random } from '@chervilseam/decisions';
import type { Member, MembershipMessage } from '@chervilseam/decisions';
import { Encoder } from 'cbor-x';

/** What the heartbeats of one instance cost in a group of some size. */
interface MachineMeasure {
  readonly instances: number;
  /** Datagrams sent, in bytes a second, with their tags. */
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  /** Processor time, as a share of a core. */
  readonly coreShare: number;
  /** Memory of the state, in bytes. */
  readonly heapBytes: number;
}

const TAG_BYTES = 16;
const UDP_HEADER_BYTES = 28;
const DURATION_MS = 60_000;
const TICK_MS = 50;
const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
/** Changes a day at the target: failures and restarts, each a leave or death and a return. */
const MEMBER_CHANGES_PER_DAY = 2 * (240 + 9);

const encoder = new Encoder({ useRecords: false });

const memberOf = (index: number, incarnation: number): Member => ({
  name: `instance-${index}`,
  host: '10.0.0.1',
  port: 7_000 + index,
  failureDomain: `domain-${index % 4}`,
  region: `region-${index % 2}`,
  size: 1,
  life: `instance-${index}-0123456789ab`,
  incarnation,
  state: 'alive',
});

/**
 * Feeds one instance's state machine what the others would send, with the target's changes.
 *
 * @param instances - size of the group
 * @returns the figures
 */
export function measureMachine(instances: number): MachineMeasure {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const random = new Random(7);
  const all = Array.from({ length: instances }, (_, index) => memberOf(index, 1));
  const node = new Membership(all[0], defaultMembershipSettings, new Random(1));
  all.slice(1).forEach((member) => {
    const rumor = { key: `member/${member.name}`, version: [1, 0] as const, value: member };
    node.applyRumor(rumor, 0, false);
  });
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  const sizes = { sent: 0, received: 0 };
  const sizeOf = (message: MembershipMessage): number =>
    encoder.encode(message).length + TAG_BYTES + UDP_HEADER_BYTES;
  const { periodMs } = defaultMembershipSettings;
  const changesPerMs = MEMBER_CHANGES_PER_DAY / SECONDS_PER_DAY / MS_PER_SECOND;
  let incarnation = 1;
  let changes = 0;
  let sequence = 0;
  const startUs = process.cpuUsage();
  for (let nowMs = TICK_MS; nowMs <= DURATION_MS; nowMs += TICK_MS) {
    changes += changesPerMs * TICK_MS;
    const fresh: Member[] = [];
    while (changes >= 1) {
      changes -= 1;
      incarnation += 1;
      fresh.push(memberOf(1 + random.below(instances - 1), incarnation));
    }
    const rumors = fresh.map((member) => ({
      key: `member/${member.name}`,
      version: [member.incarnation, 0] as const,
      value: member,
    }));
    const out = node.tick(nowMs);
    // Each other instance pings one member a period: this one is its target once in a period.
    if (nowMs % periodMs === 0) {
      sequence += 1;
      const from = `instance-${1 + random.below(instances - 1)}`;
      const ping: MembershipMessage = { type: 'ping', from, sequence, rumors };
      sizes.received += sizeOf(ping);
      out.push(...node.receive(ping, nowMs));
    }
    out.forEach(({ to, message }) => {
      sizes.sent += sizeOf(message);
      if (message.type !== 'ping') return;
      const known = message.rumors.map(({ key }) => key);
      const ack: MembershipMessage = {
        type: 'ack',
        from: to.name,
        sequence: message.sequence,
        rumors: [],
        known,
      };
      sizes.received += sizeOf(ack);
      node.receive(ack, nowMs);
    });
  }
  const total = process.cpuUsage(startUs);
  const cpuUs = total.user + total.system;
  const seconds = DURATION_MS / MS_PER_SECOND;
  return {
    instances,
    sentBytesPerSecond: sizes.sent / seconds,
    receivedBytesPerSecond: sizes.received / seconds,
    coreShare: cpuUs / 1e6 / seconds,
    heapBytes,
  };
}
