/** The two deployments that the requirements describe. Speeds are relative; 1 is a usual engine. */
export const deploymentShapes = {
  kovacic: {
    name: 'kovacic',
    assistantSpeeds: [1.3, 1.2, 1.1, 1, 1, 0.9, 0.8, 0.7],
    deskSpeeds: [1.1, 1, 0.8],
    modelCount: 20,
    deskModelCount: 4,
    replicaCount: 4,
    callerMs: 1,
  },
  omslagsverk: {
    name: 'omslagsverk',
    assistantSpeeds: [1.4, 1.3, 1.2, 1.2, 1.1, 1, 1, 1, 0.9, 0.9, 0.8, 0.8, 0.7],
    deskSpeeds: [1.2, 1, 0.8],
    modelCount: 30,
    deskModelCount: 5,
    replicaCount: 5,
    callerMs: 3,
  },
} as const;
