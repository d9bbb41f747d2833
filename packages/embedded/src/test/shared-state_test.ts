import { expect } from 'chai';
import { Deployment } from '../index.js';

const modelToml = (name: string, weightsBytes = 1): string =>
  `[[model]]\nname = "${name}"\nweightsBytes = ${weightsBytes}\n`;

describe('shared state on real daemons', () => {
  let deployment: Deployment;

  const start = async (instanceCount: number, logRetentionMs = 3_600_000): Promise<void> => {
    deployment = await Deployment.start({
      instanceCount,
      domainCount: 3,
      configToml: modelToml('first'),
      settings: {
        platform: {
          logUrl: 'unset',
          instanceListUrl: 'unset',
          configPollMs: 100,
          listPollMs: 200,
          callTimeoutMs: 500,
          logRetentionMs,
        },
      },
    });
  };

  afterEach(() => deployment.stop());

  const offsets = (): number[] =>
    [...deployment.daemons.values()].map(({ config }) => config.fold.offset);
  const allHave = (name: string): boolean =>
    [...deployment.daemons.values()].every(({ config }) => config.view.models.has(name));

  it('puts an accepted change in force everywhere', async () => {
    await start(6);
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('in force', () => allHave('second'));
    const chains = [...deployment.daemons.values()].map(({ config }) => config.fold.chain);
    expect(new Set(chains).size).to.equal(1);
  });

  it('lets one of many racing operators win each object, alike at every instance', async () => {
    await start(3);
    const racing = Array.from({ length: 20 }, (_, index) =>
      deployment.apply(modelToml('raced', index + 1)).then(
        () => 1,
        () => 0,
      ),
    );
    const wins = await Promise.all(racing);
    expect(wins.filter((win) => win === 1).length).to.be.greaterThan(0);
    const end = deployment.log.peek('config').length;
    await deployment.waitFor('all read it', () => offsets().every((offset) => offset >= end));
    const bodies = [...deployment.daemons.values()].map(
      ({ config }) => config.view.models.get('raced')?.weightsBytes,
    );
    expect(new Set(bodies).size).to.equal(1);
  });

  it('starts from a snapshot after the log has forgotten the records', async () => {
    await start(3, 1_600);
    const hasSnapshot = (): boolean =>
      deployment.log
        .peek('config')
        .some(({ value }) => (value as { type: string }).type === 'snapshot');
    await deployment.waitFor('a snapshot is on the log', hasSnapshot);
    const [first] = deployment.log
      .peek('config')
      .filter(({ value }) => (value as { type: string }).type === 'snapshot');
    deployment.log.forget('config', first.offset);
    const daemon = await deployment.startDaemon('instance-9', 0);
    await deployment.waitFor('the new one has it', () => daemon.config.view.models.has('first'));
  });

  it('starts from peers alone while the log is down, and serves', async () => {
    await start(3);
    deployment.log.faults.isDown = true;
    const daemon = await deployment.startDaemon('instance-9', 0);
    await deployment.waitFor('the new one has it', () => daemon.config.view.models.has('first'));
    const response = await deployment.call('/v1/models', { instance: 'instance-9' });
    expect(response.status).to.equal(200);
    expect(daemon.config.isLogDown).to.equal(true);
  });

  it('follows through a peer where the log cannot be reached, and reverts nothing', async () => {
    await start(3);
    const cut = deployment.daemons.get('instance-3');
    if (!cut) throw new Error('no instance-3');
    cut.blockLog(true);
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('it came through a peer', () => cut.config.view.models.has('second'));
    cut.blockLog(false);
    await deployment.apply(modelToml('third'));
    await deployment.waitFor('it came through the log', () => allHave('third'));
  });

  it('serves on alone when its domain is cut off from the others and the platform', async () => {
    await start(3);
    const cut = deployment.daemons.get('instance-3');
    if (!cut) throw new Error('no instance-3');
    cut.blockLog(true);
    ['instance-1', 'instance-2'].forEach((name) => {
      cut.peers.blocked.add(name);
      deployment.daemons.get(name)?.peers.blocked.add('instance-3');
    });
    await deployment.waitFor('the others hold it for dead', () =>
      ['instance-1', 'instance-2'].every((name) =>
        deployment.daemons
          .get(name)
          ?.members.some((member) => member.name === 'instance-3' && member.state === 'dead'),
      ),
    );
    const response = await deployment.call('/v1/models', { instance: 'instance-3' });
    expect(response.status).to.equal(200);
    await deployment.apply(modelToml('meanwhile'));
    cut.blockLog(false);
    deployment.daemons.forEach((daemon) => daemon.peers.blocked.clear());
    await deployment.waitFor('all know all again', () =>
      [...deployment.daemons.values()].every(
        (daemon) =>
          daemon.config.view.models.has('meanwhile') &&
          daemon.members.filter(({ state }) => state === 'alive').length === 3,
      ),
    );
  });

  it('keeps its state and raises an alarm when the head of the log goes backwards', async () => {
    await start(1);
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('in force', () => allHave('second'));
    deployment.log.rewind('config', 1);
    const [daemon] = [...deployment.daemons.values()];
    await deployment.waitFor('the alarm', async () =>
      (await daemon.metrics.text()).includes('alarms_total{code="log_went_back"}'),
    );
    expect(allHave('second')).to.equal(true);
  });

  it('replaces every instance in turn while the log is down, and keeps the configuration', async () => {
    await start(3);
    deployment.log.faults.isDown = true;
    const old = [...deployment.daemons.keys()];
    for (let index = 0; index < old.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      const daemon = await deployment.startDaemon(`instance-${index + 4}`, index);
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await deployment.waitFor('it has the state', () => daemon.config.view.models.has('first'));
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await deployment.stopDaemon(old[index]);
    }
    expect(allHave('first')).to.equal(true);
    deployment.log.faults.isDown = false;
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('in force', () => allHave('second'));
  });
});
