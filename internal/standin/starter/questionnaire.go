package starter

import (
	"slices"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
)

// WithQuestionnaire returns the settings with the zones, services and weight store of a questionnaire.
func (s Settings) WithQuestionnaire(q questioner.Questionnaire) Settings {
	s.Zones = nil
	for _, z := range q.Zones {
		s.Zones = append(s.Zones, z.Name)
	}
	s.Services = make([]Service, 0, len(q.Services))
	for _, service := range q.Services {
		s.Services = append(s.Services, Service{
			Name:           service.Name,
			Kind:           service.Kind,
			Servers:        service.Servers,
			Zones:          slices.Clone(service.Zones),
			MemoryBytes:    service.Memory,
			ChecksFencing:  service.ChecksFencing,
			IdentityHeader: service.IdentityHeader,
		})
		if service.Kind != cataloger.KindModel {
			continue
		}
		s.Store = cataloger.WeightStore{
			LoadsPerSecond:    service.WeightStore.LoadsPerSecond,
			FullSpeedLoads:    service.WeightStore.FullSpeedLoads,
			FullSpeedAdapters: service.WeightStore.FullSpeedAdapters,
			AdapterLoad:       cataloger.Duration(service.WeightStore.AdapterLoad),
		}
	}
	return s
}
