package assembler

import (
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/archiver"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/screener"
)

func (n *Node) createArchiver() {
	n.archiver = archiver.New(archiver.Settings{
		Store:      n.store,
		Clock:      n.clock,
		FirstStart: n.settings.FirstStart,
		Publish:    n.applyArchiverEffect,
	})
}

// storeRecords passes the records about requests that crash replicas on to the store.
func (n *Node) storeRecords(effect planner.StoreRecords) {
	n.logPostError("archiver", n.archiver.Post(archiver.SetRecords{Tenure: effect.Tenure, Records: effect.Records}))
}

// applyArchiverEffect passes on what the store lists about requests that crash replicas.
func (n *Node) applyArchiverEffect(effect archiver.Effect) {
	switch effect := effect.(type) {
	case archiver.Publish:
		n.logPostError("screener", n.screener.Post(screener.RecordsRead{Records: effect.Records}))
	case archiver.Note:
		fields := logrus.Fields{}
		if effect.Trait != "" {
			fields["Trait"] = effect.Trait
		}
		n.logger.WithFields(fields).Info(effect.Text)
		n.meter.RecordChange("archiver", effect.Text)
	}
}
