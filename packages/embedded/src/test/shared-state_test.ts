import type { Daemon } from '@chervilseam/daemon';
import { expect } from 'chai';
import { Deployment } from '../index.js';

/** Number of models whose configuration is over a megabyte. */
const LARGE_MODEL_COUNT = 8_000;
const LONG_NAME = 'x'.repeat(50);

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
  /** Whether every daemon has the model in its configuration. */
  const allHave = (name: string): boolean =>
    [...deployment.daemons.values()].every(({ config }) => config.view.models.has(name));

  it('applies an accepted change at every instance', async () => {
    await start(6);
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('model second at every instance', () => allHave('second'));
    const chains = [...deployment.daemons.values()].map(({ config }) => config.fold.chain);
    expect(new Set(chains).size).to.equal(1);
  });

  it('resolves concurrent changes of an object the same way at every instance', async () => {
    await start(3);
    const publishing = Array.from({ length: 20 }, (_, index) =>
      deployment.apply(modelToml('raced', index + 1)).then(
        () => 1,
        () => 0,
      ),
    );
    const wins = await Promise.all(publishing);
    expect(wins.filter((win) => win === 1).length).to.be.greaterThan(0);
    const end = deployment.log.peek('config').length;
    await deployment.waitFor('every instance has read the stream to its end', () =>
      offsets().every((offset) => offset >= end),
    );
    const weights = [...deployment.daemons.values()].map(
      ({ config }) => config.view.models.get('raced')?.weightsBytes,
    );
    expect(new Set(weights).size).to.equal(1);
  });

  it('starts from a snapshot after the log dropped the records before it', async () => {
    await start(3, 1_600);
    const hasSnapshot = (): boolean =>
      deployment.log
        .peek('config')
        .some(({ value }) => (value as { type: string }).type === 'snapshot');
    await deployment.waitFor('a snapshot in the log', hasSnapshot);
    const [first] = deployment.log
      .peek('config')
      .filter(({ value }) => (value as { type: string }).type === 'snapshot');
    deployment.log.dropBefore('config', first.offset);
    const daemon = await deployment.startDaemon('instance-9', 0);
    await deployment.waitFor('model first at instance-9', () =>
      daemon.config.view.models.has('first'),
    );
  });

  it('reads the configuration from its peers when it starts while the log is down, and serves', async () => {
    await start(3);
    deployment.log.faults.isDown = true;
    const daemon = await deployment.startDaemon('instance-9', 0);
    await deployment.waitFor('model first at instance-9', () =>
      daemon.config.view.models.has('first'),
    );
    const response = await deployment.call('/v1/models', { instance: 'instance-9' });
    expect(response.status).to.equal(200);
    expect(daemon.config.isLogDown).to.equal(true);
  });

  // The snapshot was one answer with one time limit, and closed the connection if it was over a megabyte.
  it('reads a configuration of over a megabyte from its peers', async () => {
    await start(3);
    const models = Array.from({ length: LARGE_MODEL_COUNT }, (_, index) =>
      modelToml(`m-${index}-${LONG_NAME}`),
    );
    await deployment.apply(models.join(''));
    const hasAll = ({ config }: Daemon): boolean => config.view.models.size > LARGE_MODEL_COUNT;
    await deployment.waitFor('all models at every instance', () =>
      [...deployment.daemons.values()].every(hasAll),
    );
    deployment.log.faults.isDown = true;
    const daemon = await deployment.startDaemon('instance-9', 0);
    await deployment.waitFor('all models at instance-9', () => hasAll(daemon));
  }).timeout(30_000);

  it('receives changes through a peer while it cannot reach the log, and keeps them afterwards', async () => {
    await start(3);
    const isolated = deployment.daemons.get('instance-3');
    if (!isolated) throw new Error('no instance-3');
    isolated.blockLog(true);
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('model second at instance-3 through a peer', () =>
      isolated.config.view.models.has('second'),
    );
    isolated.blockLog(false);
    await deployment.apply(modelToml('third'));
    await deployment.waitFor('model third at every instance through the log', () =>
      allHave('third'),
    );
  });

  it('keeps serving while it can reach neither the other instances nor the platform\u2019s log', async () => {
    await start(3);
    const isolated = deployment.daemons.get('instance-3');
    if (!isolated) throw new Error('no instance-3');
    isolated.blockLog(true);
    ['instance-1', 'instance-2'].forEach((name) => {
      isolated.peers.blocked.add(name);
      deployment.daemons.get(name)?.peers.blocked.add('instance-3');
    });
    await deployment.waitFor('instance-3 dead at the other instances', () =>
      ['instance-1', 'instance-2'].every((name) =>
        deployment.daemons
          .get(name)
          ?.members.some((member) => member.name === 'instance-3' && member.state === 'dead'),
      ),
    );
    const response = await deployment.call('/v1/models', { instance: 'instance-3' });
    expect(response.status).to.equal(200);
    await deployment.apply(modelToml('meanwhile'));
    isolated.blockLog(false);
    deployment.daemons.forEach((daemon) => daemon.peers.blocked.clear());
    await deployment.waitFor('the change and three live members at every instance', () =>
      [...deployment.daemons.values()].every(
        (daemon) =>
          daemon.config.view.models.has('meanwhile') &&
          daemon.members.filter(({ state }) => state === 'alive').length === 3,
      ),
    );
  });

  it('keeps its state and raises an alarm when the log loses its newest records', async () => {
    await start(1);
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('model second at every instance', () => allHave('second'));
    deployment.log.dropAfter('config', 1);
    const [daemon] = [...deployment.daemons.values()];
    await deployment.waitFor('the alarm in the metrics', async () =>
      (await daemon.metrics.text()).includes('alarms_total{code="log_went_back"}'),
    );
    expect(allHave('second')).to.equal(true);
  });

  it('keeps the configuration when every instance is replaced in turn while the log is down', async () => {
    await start(3);
    deployment.log.faults.isDown = true;
    const oldNames = [...deployment.daemons.keys()];
    for (let index = 0; index < oldNames.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      const daemon = await deployment.startDaemon(`instance-${index + 4}`, index);
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await deployment.waitFor('model first at the new instance', () =>
        daemon.config.view.models.has('first'),
      );
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await deployment.stopDaemon(oldNames[index]);
    }
    expect(allHave('first')).to.equal(true);
    deployment.log.faults.isDown = false;
    await deployment.apply(modelToml('second'));
    await deployment.waitFor('model second at every instance', () => allHave('second'));
  });
});
